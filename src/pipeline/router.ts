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

type Target = { readonly entry?: string };

interface Placed {
  readonly pool: string;
  readonly since: number;
  readonly target: Target;
  /** Leaves the queue to be placed again. */
  readonly move: () => void;
}

type Attempt =
  | { readonly kind: "slot"; readonly slot: Slot }
  | { readonly kind: "refused"; readonly code: ResultCode }
  | { readonly kind: "again" };

/** Acquires slots here or at another entry. */
export class Router {
  #placed = new Set<Placed>();

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
  async acquire(wish: SlotRequest): Promise<Result<Slot, Failure>> {
    for (;;) {
      if (wish.signal.aborted) return fail(codes.cancelled, "cancelled");
      const target = this.#choose(wish.class.pool);
      if (target === undefined) {
        const waited = await this.#awaitHost(wish);
        if (waited.err) return waited;
        continue;
      }
      const attempt = target.entry === undefined
        ? await this.#acquireLocal(wish)
        : await this.#acquireRemote(wish, target.entry);
      if (attempt.kind === "slot") return Ok(attempt.slot);
      if (attempt.kind === "refused") {
        return fail(attempt.code, attempt.code.meaning);
      }
    }
  }

  /** Moves tickets that wait while another entry has free slots. */
  rebalance(): void {
    const now = this.clock.now();
    const spare = new Map<string, number>();
    for (const placed of this.#placed) {
      if (now - placed.since < rebalanceAfterMs) continue;
      const free = spare.get(placed.pool) ?? this.#freeElsewhere(placed);
      if (free > 0) placed.move();
      spare.set(placed.pool, free - 1);
    }
  }

  #freeElsewhere(placed: Placed): number {
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

  #choose(pool: string): Target | undefined {
    const own = this.scheduler.load(pool);
    if (own.free > 0 && own.queued === 0) return {};
    let totalFree = 0;
    const loads = this.loads.of(pool);
    for (const load of loads.values()) totalFree += freeSlots(load);
    if (totalFree > 0) return { entry: this.#drawFree(loads, totalFree) };
    return shortestQueue(own, loads);
  }

  #drawFree(loads: ReadonlyMap<string, PoolLoad>, total: number): string {
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

  async #awaitHost(wish: SlotRequest): Promise<Result<void, Failure>> {
    const left = (wish.startBy ?? Infinity) - this.clock.now();
    if (left <= 0) return fail(codes.noHost, codes.noHost.meaning);
    await new Promise<void>((resolve) => {
      this.clock.after(Math.min(left, noHostPauseMs), resolve);
    });
    return Ok(undefined);
  }

  #acquireLocal(wish: SlotRequest): Promise<Attempt> {
    const id = this.ids.next();
    return new Promise((resolve) => {
      const placed: Placed = {
        pool: wish.class.pool,
        since: this.clock.now(),
        target: {},
        move: () => leave({ kind: "again" }),
      };
      const settle = (attempt: Attempt) => {
        wish.signal.removeEventListener("abort", cancel);
        this.#placed.delete(placed);
        resolve(attempt);
      };
      const leave = (attempt: Attempt) => {
        if (this.scheduler.cancel(id)) settle(attempt);
      };
      const cancel = () => leave({ kind: "refused", code: codes.cancelled });
      const waits = this.scheduler.acquire({
        id,
        class: wish.class,
        startBy: wish.startBy,
        avoid: wish.avoid,
        granted: (host) =>
          settle({ kind: "slot", slot: this.#localSlot(host) }),
        refused: (code) => settle(refusal(code)),
      });
      if (!waits) return;
      wish.signal.addEventListener("abort", cancel);
      this.#placed.add(placed);
    });
  }

  #localSlot(host: Host): Slot {
    return {
      host: host.name,
      send: (req, signal) => this.local.send(host, req, signal),
      giveBack: () => this.local.giveBack(host),
    };
  }

  async #acquireRemote(wish: SlotRequest, entry: string): Promise<Attempt> {
    const { pool } = wish.class;
    this.#noteTaken(entry, pool);
    const ticket = this.remote.acquire(entry, {
      class: wish.class.name,
      startInMs: wish.startBy === undefined
        ? undefined
        : Math.max(0, wish.startBy - this.clock.now()),
      avoid: wish.avoid,
    });
    let moved = false;
    const cancel = () => ticket.cancel();
    const placed = {
      pool,
      since: this.clock.now(),
      target: { entry },
      move: () => {
        moved = true;
        ticket.cancel();
      },
    };
    wish.signal.addEventListener("abort", cancel);
    this.#placed.add(placed);
    const result = await ticket.result;
    wish.signal.removeEventListener("abort", cancel);
    this.#placed.delete(placed);
    if (result instanceof Err) {
      return this.#refusedRemotely(entry, pool, result.val.code, moved);
    }
    const grant = result.val;
    this.loads.set(entry, pool, grant.load);
    return {
      kind: "slot",
      slot: {
        host: grant.host,
        entry,
        send: (req, signal) => this.remote.send(grant, req, signal),
        giveBack: () => this.remote.giveBack(grant),
      },
    };
  }

  #refusedRemotely(
    entry: string,
    pool: string,
    code: ResultCode,
    moved: boolean,
  ): Attempt {
    if (moved && code === codes.cancelled) return { kind: "again" };
    if (code === codes.noHost) this.loads.set(entry, pool, noLoad);
    return refusal(code);
  }

  /** Counts a slot as taken until the entry reports its load again. */
  #noteTaken(entry: string, pool: string): void {
    const load = this.loads.of(pool).get(entry);
    if (load === undefined) return;
    const next = load.free > 0
      ? { ...load, free: load.free - 1 }
      : { ...load, queued: load.queued + 1 };
    this.loads.set(entry, pool, next);
  }
}

/** Without a host, the request is placed again elsewhere. */
function refusal(code: ResultCode): Attempt {
  return code === codes.noHost ? { kind: "again" } : { kind: "refused", code };
}

const noLoad: PoolLoad = { slots: 0, free: 0, queued: 0, urgent: 0 };

function freeSlots(load: PoolLoad): number {
  return load.queued === 0 ? Math.max(0, load.free) : 0;
}

function shortestQueue(
  own: PoolLoad,
  loads: ReadonlyMap<string, PoolLoad>,
): Target | undefined {
  let best: Target | undefined = own.slots > 0 ? {} : undefined;
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
