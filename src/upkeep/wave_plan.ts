/**
 * Planning of a maintenance wave: which hosts to vacate and which to take down
 * next.
 *
 * A wave makes no more hosts unavailable at once than it needs to finish in
 * time. Hosts without an endpoint come first, and the others alternate between
 * the pools, so that no pool loses many at a time. Hosts are vacated ahead of
 * their turn to be taken down. One that can't be emptied in the time of its turn
 * gives its turn to another, and is taken down when it is empty.
 *
 * A step that may miss one task moves its tasks one after another, which takes
 * longer than a turn. So the endpoints of all hosts that still wait for their
 * turn are given as planned, and such tasks move away from them meanwhile.
 */
import type { ProviderHost } from "../capacity/index.ts";

/** A wave as requested by the operator. */
export interface RequestedWave {
  readonly id: string;
  readonly hosts: readonly string[];
  /** Time in which the wave should finish, in ms. */
  readonly durationMs: number;
  /** Maximum number of the wave's hosts that may be down at once. */
  readonly maxParallel: number;
}

/** Progress of a wave. */
export interface WaveProgress {
  /** Wall-clock time at which the wave was first seen, in ms. */
  readonly startedAt: number;
  /** Hosts whose maintenance has begun. */
  readonly begun: readonly string[];
  /** Hosts whose maintenance has ended, or which are no longer listed. */
  readonly ended: readonly string[];
}

/** State of the hosts that a plan is based on. */
export interface WaveView {
  /** Listed hosts by name. */
  readonly listed: ReadonlyMap<string, ProviderHost>;
  /**
   * Hosts to which an order for this wave was sent that had no answer, so that
   * it may still take them down.
   */
  readonly unresolved: ReadonlySet<string>;
  /** Vacating endpoints that were reported empty. */
  readonly empty: ReadonlySet<string>;
  /** Wall-clock time at which vacating an endpoint began, in ms. */
  readonly vacatingSince: (endpoint: string) => number | undefined;
  /** Current wall-clock time, in ms. */
  readonly now: number;
}

/** The next actions of a wave. */
export interface WaveActions {
  /** Endpoints to vacate. */
  readonly vacate: readonly string[];
  /** Endpoints of hosts that wait for their turn to be vacated. */
  readonly planned: readonly string[];
  /** Hosts to take down now. */
  readonly takeDown: readonly ProviderHost[];
}

/** Time to vacate a host, take it down and bring it back, in ms. */
const hostDowntimeMs = 6_000;

/**
 * Time after which a host that can't be emptied no longer holds a turn, in ms:
 * what its tasks get to end, and the report that they have ended.
 */
const maxVacatingTurnMs = 6_000;

/** Share of a wave's time that the plan uses; the rest allows for delays. */
const plannedTimeShare = 0.75;

/** Whether the maintenance of all hosts of a wave has ended. */
export function isWaveComplete(
  wave: RequestedWave,
  progress: WaveProgress,
): boolean {
  const ended = new Set(progress.ended);
  return wave.hosts.every((host) => ended.has(host));
}

/** Number of hosts that must be unavailable at once to finish in time. */
export function requiredParallel(
  wave: RequestedWave,
  progress: WaveProgress,
  now: number,
): number {
  const remaining = wave.hosts.length - progress.ended.length;
  const endsAt = progress.startedAt + wave.durationMs * plannedTimeShare;
  const batches = Math.floor((endsAt - now) / hostDowntimeMs);
  return Math.min(
    wave.maxParallel,
    Math.ceil(remaining / Math.max(1, batches)),
  );
}

/**
 * Hosts that are up, in the order of their maintenance: those without an
 * endpoint, then the pools in round-robin.
 */
function maintenanceOrder(
  hosts: readonly string[],
  listed: ReadonlyMap<string, ProviderHost>,
): readonly ProviderHost[] {
  const turnsByPool = new Map<string, number>();
  const ordered: { readonly host: ProviderHost; readonly turn: number }[] = [];
  for (const id of hosts) {
    const host = listed.get(id);
    if (host?.state !== "up") continue;
    const turn = turnsByPool.get(host.pool) ?? 0;
    turnsByPool.set(host.pool, turn + 1);
    ordered.push({ host, turn: host.endpoint === "" ? -1 : turn });
  }
  return ordered.sort((a, b) => a.turn - b.turn).map(({ host }) => host);
}

/**
 * Number of a wave's hosts that are down or may be: those whose maintenance has
 * begun and not ended, and others that an order without an answer may have
 * taken down, or that the listing shows in maintenance.
 */
function countDown(
  wave: RequestedWave,
  progress: WaveProgress,
  { listed, unresolved }: WaveView,
): number {
  const begun = new Set(progress.begun);
  const ended = new Set(progress.ended);
  return wave.hosts.filter((host) =>
    begun.has(host)
      ? !ended.has(host)
      : unresolved.has(host) || listed.get(host)?.state === "upkeep"
  ).length;
}

/**
 * Plans the next actions of a wave. Hosts whose order had no answer come first
 * among those to take down.
 */
export function planWaveActions(
  wave: RequestedWave,
  progress: WaveProgress,
  view: WaveView,
): WaveActions {
  const { listed, unresolved, empty, vacatingSince, now } = view;
  const begun = new Set(progress.begun);
  const down = countDown(wave, progress, view);
  const remaining = wave.hosts.filter((host) => !begun.has(host));
  const parallel = requiredParallel(wave, progress, now);
  const repeated: ProviderHost[] = [];
  const takeDown: ProviderHost[] = [];
  const vacate: string[] = [];
  let unavailable = down;
  for (const host of maintenanceOrder(remaining, listed)) {
    const { endpoint } = host;
    const since = vacatingSince(endpoint);
    const isEmpty = endpoint === "" || empty.has(endpoint);
    if (unresolved.has(host.host)) {
      if (isEmpty) repeated.push(host);
      continue;
    }
    const mayTakeDown = down + takeDown.length < wave.maxParallel;
    if (isEmpty && mayTakeDown) {
      takeDown.push(host);
      unavailable++;
    } else if (since !== undefined && now - since < maxVacatingTurnMs) {
      unavailable++;
    }
  }
  const planned: string[] = [];
  for (const { endpoint } of maintenanceOrder(remaining, listed)) {
    if (endpoint === "" || vacatingSince(endpoint) !== undefined) continue;
    if (unavailable < parallel) {
      vacate.push(endpoint);
      unavailable++;
    } else planned.push(endpoint);
  }
  return { vacate, planned, takeDown: [...repeated, ...takeDown] };
}
