/**
 * Starts that had no answer and that one incarnation of an endpoint has settled:
 * its lists did not contain them after a confirmed stop. Their orders may still be
 * on their way. That incarnation refuses them then, but a later one knows of no
 * stop, and would carry them out after their task has been placed again.
 *
 * Times are of the owner's monotonic clock, in ms.
 */
import type { TaskEndpoint } from "../endpoint/index.ts";

/** Longest time from settling a start until its order can arrive, in ms. */
const maxLateArrivalMs = 12_000;

/** A start that has been settled. */
export interface SettledStart {
  /** Name of the task. */
  readonly task: string;
  /** Number of the run. */
  readonly run: number;
  /** Id of the endpoint that the order was sent to. */
  readonly endpoint: string;
  /** Incarnation that has settled it. */
  readonly life: number;
  /** Time after which its order does not arrive any more. */
  readonly arrivesBy: number;
}

/** The settled starts of one shard whose orders may still arrive. */
export class SettledStarts {
  #starts: SettledStart[] = [];

  /** Adds a start that an incarnation has settled at the time `now`. */
  add(
    { id, life }: Pick<TaskEndpoint, "id" | "life">,
    { name, run }: { readonly name: string; readonly run: number },
    now: number,
  ): void {
    this.#starts = this.#starts.filter(({ arrivesBy }) => now <= arrivesBy);
    const arrivesBy = now + maxLateArrivalMs;
    this.#starts.push({ task: name, run, endpoint: id, life, arrivesBy });
  }

  /** The starts that may still arrive at an incarnation that settled none of them. */
  arrivingAt(
    { id, life }: Pick<TaskEndpoint, "id" | "life">,
    now: number,
  ): readonly SettledStart[] {
    return this.#starts.filter((start) =>
      start.endpoint === id && start.life !== life && now <= start.arrivesBy
    );
  }
}
