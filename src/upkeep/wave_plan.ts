/**
 * What to do next in a wave: which hosts to empty and which to take down.
 *
 * A wave takes no more hosts away at once than its time asks for. Idle hosts
 * go first, and pools take turns, so that no pool misses many at a time.
 * Hosts are emptied ahead of their turn.
 */
import type { ListedHost } from "./host_control.ts";

/** A wave as the operator asked for it. */
export interface Wave {
  readonly id: string;
  readonly hosts: readonly string[];
  readonly durationMs: number;
  /** Most hosts of the wave that may be down at once. */
  readonly maxParallel: number;
}

/** How far a wave has come. */
export interface WaveProgress {
  /** Wall-clock time at which it was first seen, in ms. */
  readonly startedAt: number;
  /** Hosts whose maintenance has begun. */
  readonly begun: readonly string[];
  /** Hosts whose maintenance has ended, or which have left. */
  readonly ended: readonly string[];
}

/** What the plan looks at besides the wave. */
export interface WaveView {
  readonly listed: ReadonlyMap<string, ListedHost>;
  /** Endpoints that were reported empty. */
  readonly empty: ReadonlySet<string>;
  /** Wall-clock time since which an endpoint is being emptied, in ms. */
  readonly vacatingSince: (endpoint: string) => number | undefined;
  /** Wall-clock time in ms. */
  readonly now: number;
}

/** The next steps of a wave. */
export interface WaveActions {
  /** Endpoints to empty. */
  readonly vacate: readonly string[];
  /** Hosts to take down now. */
  readonly takeDown: readonly ListedHost[];
}

/** Time that a host is away in a wave: emptied, down, and back, in ms. */
const hostDowntimeMs = 6_000;

/** Share of a wave's time that the plan fills; the rest is for delays. */
const plannedTimeShare = 0.75;

/** Whether nothing of a wave is left to do. */
export function isWaveComplete(wave: Wave, progress: WaveProgress): boolean {
  const ended = new Set(progress.ended);
  return wave.hosts.every((host) => ended.has(host));
}

/** Number of hosts that have to be away at once to end in time. */
export function requiredParallel(
  wave: Wave,
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

/** Hosts left to do: idle ones first, then the pools by turns. */
function maintenanceOrder(
  hosts: readonly string[],
  listed: ReadonlyMap<string, ListedHost>,
): readonly ListedHost[] {
  const turnsByPool = new Map<string, number>();
  const ordered: { readonly host: ListedHost; readonly turn: number }[] = [];
  for (const id of hosts) {
    const host = listed.get(id);
    if (host?.state !== "up") continue;
    const turn = turnsByPool.get(host.pool) ?? 0;
    turnsByPool.set(host.pool, turn + 1);
    ordered.push({ host, turn: host.endpoint === "" ? -1 : turn });
  }
  return ordered.sort((a, b) => a.turn - b.turn).map(({ host }) => host);
}

/** Plans the next steps. */
export function planWaveActions(
  wave: Wave,
  progress: WaveProgress,
  view: WaveView,
): WaveActions {
  const { listed, empty, vacatingSince, now } = view;
  const begun = new Set(progress.begun);
  const ended = new Set(progress.ended);
  const down = progress.begun.filter((host) => !ended.has(host)).length;
  const remaining = wave.hosts.filter((host) => !begun.has(host));
  const parallel = requiredParallel(wave, progress, now);
  const takeDown: ListedHost[] = [];
  const vacate: string[] = [];
  let unavailable = down;
  for (const host of maintenanceOrder(remaining, listed)) {
    const { endpoint } = host;
    const since = vacatingSince(endpoint);
    const isEmpty = endpoint === "" || empty.has(endpoint);
    const mayTakeDown = down + takeDown.length < wave.maxParallel;
    if (isEmpty && mayTakeDown) {
      takeDown.push(host);
      unavailable++;
    } else if (since !== undefined) {
      unavailable++;
    }
  }
  for (const { endpoint } of maintenanceOrder(remaining, listed)) {
    if (unavailable >= parallel) break;
    if (endpoint === "" || vacatingSince(endpoint) !== undefined) continue;
    vacate.push(endpoint);
    unavailable++;
  }
  return { vacate, takeDown };
}
