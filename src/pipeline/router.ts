/**
 * Placement of a request: finds the entry whose owned hosts can serve its
 * pool soonest, and acquires a slot there.
 */
import { Err, Ok, type Result } from "ts-results";
import { codes, fail, type Failure, type ResultCode } from "../errors/index.ts";
import type { Clock, IdSource, Random } from "../clock/index.ts";
import type { Host } from "../hosts/index.ts";
import type { ClassRow } from "../table/index.ts";
import type { LocalSlots } from "./local_slots.ts";
import type { EndpointRequest, Outcome } from "./request.ts";
import type { PoolLoad, Scheduler } from "./scheduler.ts";
import type { SlotClient } from "./slot_client.ts";

/** Pause before placement is tried again while no host is reachable, in ms. */
const noHostPauseMs = 50;
/** A ticket that has waited this long may move to an idle entry, in ms. */
const rebalanceAfterMs = 100;

/** A wish for one slot. */
export interface SlotRequest {
  readonly class: ClassRow;
  /** Monotonic time in ms of the latest start; undefined to wait. */
  readonly startBy?: number;
  readonly avoid: readonly string[];
  readonly signal: AbortSignal;
}

/** A reserved slot: used once, or given back. */
export interface Slot {
  readonly host: string;
  /** Entry that owns the host; undefined for this one. */
  readonly entry?: string;
  send(req: EndpointRequest, signal: AbortSignal): Promise<Outcome>;
  giveBack(): void;
}

/** Loads that the other entries reported. */
export interface PeerLoads {
  /** Loads of a pool by entry, reachable entries only. */
  of(pool: string): ReadonlyMap<string, PoolLoad>;
  /** Replaces what is known of a pool on an entry. */
  set(entry: string, pool: string, load: PoolLoad): void;
}

type PlacementTarget = { readonly entry?: string };

interface PlacedTicket {
  readonly pool: string;
  readonly placedAt: number;
  readonly target: PlacementTarget;
  /** Leaves the queue to be placed again. */
  readonly requeue: () => void;
}

type PlacementResult =
  | { readonly kind: "slot"; readonly slot: Slot }
  | { readonly kind: "refused"; readonly code: ResultCode }
  | { readonly kind: "again" };

/** Acquires slots here or at another entry. */
export class Router {
  #placedTickets = new Set<PlacedTicket>();

  constructor(
    private readonly scheduler: Scheduler,
    private readonly local: LocalSlots,
    private readonly remote: SlotClient,
    private readonly loads: PeerLoads,
    private readonly ids: IdSource,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Acquires a slot. Urgent requests fail with `deadline`, `noHost` or
   * `queueFull`; patient ones wait and fail only with `queueFull`. An aborted
   * signal yields `cancelled`.
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

  /** Moves tickets that wait while another entry has free slots. */
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

  #freeElsewhere(placed: PlacedTicket): number {
    let free = 0;
    if (placed.target.entry !== undefined) {
      const load = this.scheduler.load(placed.pool);
      if (load.queued === 0) free += load.free;
    }
    for (const [entry, load] of this.loads.of(placed.pool)) {
      if (entry !== placed.target.entry && load.queued === 0) free += load.free;
    }
    return free;
  }

  #chooseTarget(pool: string): PlacementTarget | undefined {
    const own = this.scheduler.load(pool);
    if (own.free > 0 && own.queued === 0) return {};
    let totalFree = 0;
    const loads = this.loads.of(pool);
    for (const load of loads.values()) totalFree += freeSlots(load);
    if (totalFree > 0) return { entry: this.#drawEntry(loads, totalFree) };
    return shortestQueue(own, loads);
  }

  #drawEntry(
    loads: ReadonlyMap<string, PoolLoad>,
    total: number,
  ): string {
    let draw = this.random() * total;
    let last = "";
    for (const [entry, load] of loads) {
      if (freeSlots(load) === 0) continue;
      last = entry;
      draw -= freeSlots(load);
      if (draw < 0) break;
    }
    return last;
  }

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
      giveBack: () => this.local.releaseUnused(host),
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
      return this.#refusedRemotely(entry, pool, result.val.code, requeued);
    }
    const grant = result.val;
    this.loads.set(entry, pool, grant.load);
    return {
      kind: "slot",
      slot: {
        host: grant.host,
        entry,
        send: (req, signal) => this.remote.send(grant, req, signal),
        giveBack: () => this.remote.releaseUnused(grant),
      },
    };
  }

  #refusedRemotely(
    entry: string,
    pool: string,
    code: ResultCode,
    requeued: boolean,
  ): PlacementResult {
    if (requeued && code === codes.cancelled) return { kind: "again" };
    if (code === codes.noHost) this.loads.set(entry, pool, emptyLoad);
    return toPlacementResult(code);
  }

  /** Counts a slot as taken until the entry reports its load again. */
  #countPlacement(entry: string, pool: string): void {
    const load = this.loads.of(pool).get(entry);
    if (load === undefined) return;
    const next = load.free > 0
      ? { ...load, free: load.free - 1 }
      : { ...load, queued: load.queued + 1 };
    this.loads.set(entry, pool, next);
  }
}

/** Without a host, the request is placed again elsewhere. */
function toPlacementResult(code: ResultCode): PlacementResult {
  return code === codes.noHost ? { kind: "again" } : { kind: "refused", code };
}

const emptyLoad: PoolLoad = { slots: 0, free: 0, queued: 0, urgent: 0 };

function freeSlots(load: PoolLoad): number {
  return load.queued === 0 ? Math.max(0, load.free) : 0;
}

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
