/**
 * What endpoints, callers, hosts and the platform have seen in a play. The judge
 * reads nothing else. All times are in ms since the start of the play.
 */

/** How a run has ended; `gone`: its endpoint has crashed or left. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "gone";

/** One run of a task on one life of an endpoint. */
export interface SeenRun {
  /** Name of the task: job, occurrence, step and index. */
  readonly task: string;
  /** Id of the job. */
  readonly job: string;
  readonly run: number;
  readonly endpoint: string;
  readonly zone: string;
  /** Start of the endpoint's life. */
  readonly life: number;
  /** Fencing token of the start. */
  readonly fence: number;
  readonly startedAt: number;
  /** End of the run; undefined while it goes on. */
  endedAt?: number;
  end?: RunEnd;
  /** When the end was taken note of; undefined if it was not. */
  notedAt?: number;
}

/** One step of a submitted job, in the words of the wire. */
export interface SubmittedStep {
  readonly count: number;
  readonly cpu: number;
  readonly memMb: number;
  readonly estRuntimeMs: number;
  readonly after?: readonly number[];
  readonly longRunning?: boolean;
  readonly maxUnavailable?: number;
}

/** A job that a caller has sent. */
export interface SeenJob {
  readonly id: string;
  readonly queue: string;
  /** Pool that runs the job's tasks. */
  readonly pool: string;
  readonly steps: readonly SubmittedStep[];
  readonly sentAt: number;
  /** When a 2xx answer came; undefined if none did. */
  acceptedAt?: number;
}

/** An answer to a question for a job's state. */
export interface SeenAnswer {
  readonly job: string;
  /** The entry that answered. */
  readonly entry: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  /** Status; undefined if no answer came in time. */
  readonly status: number | undefined;
  /** The state shown; undefined if there was none. */
  readonly state: string | undefined;
}

/** A time in which something was disturbed. */
export interface Disturbance {
  readonly what: "dark" | "cut" | "kill" | "down";
  /** Who was disturbed: the id of an endpoint, the name of an entry, the store. */
  readonly who: string;
  readonly from: number;
  /** End of the disturbance; undefined while it lasts. */
  to?: number;
}

/** An order about a host, as the platform received it. */
export interface SeenHostOrder {
  readonly host: string;
  /** The entry that sent it. */
  readonly holder: string;
  /** Its fencing token. */
  readonly fence: number;
  readonly at: number;
}

/** Resources of an endpoint. */
export interface Capacity {
  /** Thousandths of a core. */
  readonly cpu: number;
  readonly memMb: number;
}

/** One life of an endpoint. */
export interface SeenLife {
  readonly endpoint: string;
  readonly pool: string;
  readonly zone: string;
  readonly life: number;
  readonly capacity: Capacity;
  readonly from: number;
  /** End of the life; undefined while it goes on. */
  to?: number;
}

/** All that was seen in a play. */
export class PlayRecord {
  /** Start of the play, in ms since 1970. */
  readonly startedAt = Date.now();
  readonly runs: SeenRun[] = [];
  readonly jobs = new Map<string, SeenJob>();
  readonly answers: SeenAnswer[] = [];
  readonly disturbances: Disturbance[] = [];
  readonly lives: SeenLife[] = [];
  /** Orders about hosts, in the order in which they came. */
  readonly hostOrders: SeenHostOrder[] = [];
  /** Time at which jobs were asked for in the end, in ms. */
  finishAt = Infinity;
  /** End of the play, in ms. */
  endAt = Infinity;
  readonly #runsByTask = new Map<string, SeenRun[]>();

  /** Notes that a run has started. */
  addRun(run: SeenRun): void {
    this.runs.push(run);
    const others = this.#runsByTask.get(run.task);
    if (others === undefined) this.#runsByTask.set(run.task, [run]);
    else others.push(run);
  }

  /** The runs of a task, in the order of their starts. */
  runsOf(task: string): readonly SeenRun[] {
    return this.#runsByTask.get(task) ?? [];
  }

  /** The tasks that have been started. */
  get startedTasks(): Iterable<string> {
    return this.#runsByTask.keys();
  }
}

/** Names of the tasks of one step of a job without occurrences. */
export function taskNames(job: SeenJob, step: number): readonly string[] {
  const { count } = job.steps[step];
  return Array.from({ length: count }, (_, i) => `${job.id}.0.${step}.${i}`);
}

/** Whether a run was going on at a time. */
export function isRunningAt(run: SeenRun, at: number): boolean {
  return run.startedAt <= at && (run.endedAt ?? Infinity) > at;
}
