/** How the tasks of planned jobs behave when endpoints run them. */
import type { PlannedJob } from "./draw.ts";
import type { TaskWork } from "./life.ts";

/** Scale of the hash of a run. */
const hashScale = 0x1_0000_0000;

/** A number in [0, 1) that depends on a text alone (FNV-1a). */
function hashShare(text: string): number {
  let hash = 0x811c9dc5;
  for (const char of text) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 0x01000193) >>> 0;
  }
  // The last bytes have to reach the high bits.
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b) >>> 0;
  return ((hash ^ (hash >>> 16)) >>> 0) / hashScale;
}

/** The work of all jobs of a play. */
export class PlannedWork {
  readonly #jobs: ReadonlyMap<string, PlannedJob>;

  constructor(jobs: readonly PlannedJob[]) {
    this.#jobs = new Map(jobs.map((job) => [job.id, job]));
  }

  /** How a run behaves; undefined if nobody has sent the task. */
  find(task: string, run: number): TaskWork | undefined {
    const [id, occurrence, step, index] = task.split(".");
    const job = this.#jobs.get(id);
    if (job === undefined || occurrence !== "0") return undefined;
    if (Number(step) >= job.stepCount) return undefined;
    const spec = job.queue.steps[Number(step)];
    if (!(Number(index) < spec.count)) return undefined;
    const { cpu, memMb, estRuntimeMs, longRunning } = spec;
    return {
      needs: { cpu, memMb },
      durationMs: longRunning ? undefined : estRuntimeMs * job.runtimeFactor,
      fails: hashShare(`${task} ${run}`) < job.failureShare,
    };
  }
}
