/**
 * Placement of a request: selects the entry that is expected to have a free
 * slot of the pool soonest, and acquires a slot from it.
 */
import { Err, Ok, type Result } from "ts-results";
import { codes, fail, type Failure, type ResultCode } from "../errors/index.ts";
import type { Clock, IdSource, Random } from "../clock/index.ts";
import type { Host } from "../hosts/index.ts";
import type { ClassRow } from "../table/index.ts";
import type { LocalSlots } from "./local_slots.ts";
import type { EndpointRequest, Outcome } from "./request.ts";
import type { PoolLoad, SlotScheduler } from "./slot_scheduler.ts";
import type { SlotClient } from "./slot_client.ts";

/** Pause before placement is retried while the pool has no usable slot, in ms. */
const noHostPauseMs = 50;
/** Time after which a waiting ticket may move to an idle entry, in ms. */
const rebalanceAfterMs = 100;

/** A request for one slot. */
export interface SlotRequest {
  readonly class: ClassRow;
  /** Monotonic time in ms of the latest start; undefined without a limit. */
  readonly startBy?: number;
  /** Hosts that failed this request; used only if no other has a free slot. */
  readonly avoid: readonly string[];
  /** Aborted when the slot is no longer needed. */
  readonly signal: AbortSignal;
}

/** A reserved slot, which is used once or released unused. */
export interface Slot {
  readonly host: string;
  /** Entry that owns the host; undefined for this entry. */
  readonly entry?: string;
  /** Sends the request to the host; the slot is released after the run. */
  send(req: EndpointRequest, signal: AbortSignal): Promise<Outcome>;
  /** Releases the slot without using it. */
  releaseUnused(): void;
}

/** Loads of the other entries: as reported, with later placements added. */
export interface PeerLoads {
  /** Returns the loads of a pool by entry, for connected entries only. */
  of(pool: string): ReadonlyMap<string, PoolLoad>;
  /** Sets the load of a pool on an entry. */
  set(entry: string, pool: string, load: PoolLoad): void;
}

/** Where a slot is acquired; `entry` is undefined for this entry. */
type PlacementTarget = { readonly entry?: string };

/** A ticket that waits for a slot, here or at another entry. */
interface PlacedTicket {
  readonly pool: string;
  /** Monotonic time in ms. */
  readonly placedAt: number;
  readonly target: PlacementTarget;
  /** Withdraws the ticket, so that its request is placed again. */
  readonly requeue: () => void;
}

/** The end of one placement; `again` means that the request is placed again. */
type PlacementResult =
  | { readonly kind: "slot"; readonly slot: Slot }
  | { readonly kind: "refused"; readonly code: ResultCode }
  | { readonly kind: "again" };

/** Acquires slots from this entry's scheduler or from other entries. */
export class Router {
  #placedTickets = new Set<PlacedTicket>();

  constructor(
    private readonly scheduler: SlotScheduler,
    private readonly local: LocalSlots,
    private readonly remote: SlotClient,
    private readonly loads: PeerLoads,
    private readonly ids: IdSource,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Acquires a slot. A request with a latest start fails with `deadline`,
   * `noHost` or `queueFull`. One without waits indefinitely, and fails only
   * with `queueFull`. Both fail with `cancelled` when the signal is aborted,
   * and with `unknownClass` when another entry does not know the class.
   */
  async acquire(request: SlotRequest): Promise<Result<Slot, Failure>> {
    for (;;) {
      if (request.signal.aborted) return fail(codes.cancelled, "cancelled");
      const target = this.#chooseTarget(request.class.pool);
      if (target === undefined) {
        const waited = await this.#awaitHost(request);
        if (waited.err) return waited;
        continue;
      }
      const result = target.entry === undefined
        ? await this.#acquireLocal(request)
        : await this.#acquireRemote(request, target.entry);
      if (result.kind === "slot") return Ok(result.slot);
      if (result.kind === "refused") {
        return fail(result.code, result.code.meaning);
      }
    }
  }

  /**
   * Withdraws tickets that have waited for `rebalanceAfterMs`, so that they are
   * placed again; in each pool at most one per free slot of other entries.
   */
  rebalance(): void {
    const now = this.clock.now();
    const freeByPool = new Map<string, number>();
    for (const placed of this.#placedTickets) {
      if (now - placed.placedAt < rebalanceAfterMs) continue;
      const free = freeByPool.get(placed.pool) ?? this.#freeElsewhere(placed);
      if (free > 0) placed.requeue();
      freeByPool.set(placed.pool, free - 1);
    }
  }

  /** Returns the free slots of a ticket's pool on all entries but its target. */
  #freeElsewhere(placed: PlacedTicket): number {
    let free = 0;
    if (placed.target.entry !== undefined) {
      const load = this.local.load(placed.pool);
      if (load.queued === 0) free += load.free;
    }
    for (const [entry, load] of this.loads.of(placed.pool)) {
      if (entry !== placed.target.entry && load.queued === 0) free += load.free;
    }
    return free;
  }

  /**
   * Chooses this entry if it has a free slot, else another with a free slot,
   * else the one with the shortest queue per slot. Returns undefined when no
   * entry has a slot of the pool.
   */
  #chooseTarget(pool: string): PlacementTarget | undefined {
    const own = this.local.load(pool);
    if (own.free > 0 && own.queued === 0) return {};
    let totalFree = 0;
    const loads = this.loads.of(pool);
    for (const load of loads.values()) totalFree += freeSlots(load);
    if (totalFree > 0) return { entry: this.#pickEntry(loads, totalFree) };
    return shortestQueue(own, loads);
  }

  /** Selects an entry at random, weighted by its free slots. */
  #pickEntry(
    loads: ReadonlyMap<string, PoolLoad>,
    totalFree: number,
  ): string {
    let remaining = this.random() * totalFree;
    // Selected if rounding keeps `remaining` from falling below 0.
    let last = "";
    for (const [entry, load] of loads) {
      if (freeSlots(load) === 0) continue;
      last = entry;
      remaining -= freeSlots(load);
      if (remaining < 0) break;
    }
    return last;
  }

  /** Pauses before the next placement. Fails with `noHost` after `startBy`. */
  async #awaitHost(request: SlotRequest): Promise<Result<void, Failure>> {
    const remainingMs = (request.startBy ?? Infinity) - this.clock.now();
    if (remainingMs <= 0) return fail(codes.noHost, codes.noHost.meaning);
    await new Promise<void>((resolve) => {
      this.clock.after(Math.min(remainingMs, noHostPauseMs), resolve);
    });
    return Ok(undefined);
  }

  #acquireLocal(request: SlotRequest): Promise<PlacementResult> {
    const id = this.ids.next();
    return new Promise((resolve) => {
      const placed: PlacedTicket = {
        pool: request.class.pool,
        placedAt: this.clock.now(),
        target: {},
        requeue: () => withdraw({ kind: "again" }),
      };
      const settle = (result: PlacementResult) => {
        request.signal.removeEventListener("abort", cancel);
        this.#placedTickets.delete(placed);
        resolve(result);
      };
      const withdraw = (result: PlacementResult) => {
        if (this.scheduler.cancel(id)) settle(result);
      };
      const cancel = () => withdraw({ kind: "refused", code: codes.cancelled });
      const waits = this.scheduler.acquire({
        id,
        class: request.class,
        startBy: request.startBy,
        avoid: request.avoid,
        granted: (host) =>
          settle({ kind: "slot", slot: this.#localSlot(host) }),
        refused: (code) => settle(toPlacementResult(code)),
      });
      if (!waits) return;
      request.signal.addEventListener("abort", cancel);
      this.#placedTickets.add(placed);
    });
  }

  #localSlot(host: Host): Slot {
    return {
      host: host.name,
      send: (req, signal) => this.local.send(host, req, signal),
      releaseUnused: () => this.local.releaseUnused(host),
    };
  }

  async #acquireRemote(
    request: SlotRequest,
    entry: string,
  ): Promise<PlacementResult> {
    const { pool } = request.class;
    this.#countPlacement(entry, pool);
    const ticket = this.remote.acquire(entry, {
      class: request.class.name,
      startInMs: request.startBy === undefined
        ? undefined
        : Math.max(0, request.startBy - this.clock.now()),
      avoid: request.avoid,
    });
    let requeued = false;
    const cancel = () => ticket.cancel();
    const placed = {
      pool,
      placedAt: this.clock.now(),
      target: { entry },
      requeue: () => {
        requeued = true;
        ticket.cancel();
      },
    };
    request.signal.addEventListener("abort", cancel);
    this.#placedTickets.add(placed);
    const result = await ticket.result;
    request.signal.removeEventListener("abort", cancel);
    this.#placedTickets.delete(placed);
    if (result instanceof Err) {
      return this.#toRemoteResult(entry, pool, result.val.code, requeued);
    }
    const grant = result.val;
    this.loads.set(entry, pool, grant.load);
    return {
      kind: "slot",
      slot: {
        host: grant.host,
        entry,
        send: (req, signal) => this.remote.send(grant, req, signal),
        releaseUnused: () => this.remote.releaseUnused(grant),
      },
    };
  }

  /** Converts another entry's refusal, and the result of a withdrawn ticket. */
  #toRemoteResult(
    entry: string,
    pool: string,
    code: ResultCode,
    requeued: boolean,
  ): PlacementResult {
    if (requeued && code === codes.cancelled) return { kind: "again" };
    if (code === codes.noHost) this.loads.set(entry, pool, emptyLoad);
    return toPlacementResult(code);
  }

  /** Adds a placement to an entry's load until the entry reports a new load. */
  #countPlacement(entry: string, pool: string): void {
    const load = this.loads.of(pool).get(entry);
    if (load === undefined) return;
    const next = load.free > 0
      ? { ...load, free: load.free - 1 }
      : { ...load, queued: load.queued + 1 };
    this.loads.set(entry, pool, next);
  }
}

/** Converts a refusal; after `noHost`, the request is placed again. */
function toPlacementResult(code: ResultCode): PlacementResult {
  return code === codes.noHost ? { kind: "again" } : { kind: "refused", code };
}

/** Load of an entry without hosts of the pool. */
const emptyLoad: PoolLoad = { slots: 0, free: 0, queued: 0, urgent: 0 };

/** Returns the free slots of an entry; 0 while requests wait for them there. */
function freeSlots(load: PoolLoad): number {
  return load.queued === 0 ? Math.max(0, load.free) : 0;
}

/** Returns the entry with the shortest queue per slot; this one on a tie. */
function shortestQueue(
  own: PoolLoad,
  loads: ReadonlyMap<string, PoolLoad>,
): PlacementTarget | undefined {
  let best: PlacementTarget | undefined = own.slots > 0 ? {} : undefined;
  let bestWait = own.slots > 0 ? own.queued / own.slots : Infinity;
  for (const [entry, load] of loads) {
    if (load.slots === 0) continue;
    const wait = load.queued / load.slots;
    if (wait >= bestWait) continue;
    best = { entry };
    bestWait = wait;
  }
  return best;
}
