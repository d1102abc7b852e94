/** Decides whether new jobs are taken in, by the outlooks of their pools. */
import type { JobSpec } from "../batch/index.ts";
import type { Queue } from "../catalog/index.ts";
import { codes, type Failure } from "../errors/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";
import type { OutlookBoard } from "./outlook_board.ts";
import { retryAfterRoom } from "./retry_after.ts";

/** Decides about new jobs. */
export interface Admission {
  /** Returns why a new job is not to be stored; undefined if it is. */
  check(queue: Queue, spec: JobSpec): Failure | undefined;
  /** Records that a job has been refused for such a reason. */
  recordRefused(spec: JobSpec, failure: Failure): void;
}

/** Takes every job in. */
export const admitAll: Admission = {
  check: () => undefined,
  recordRefused() {},
};

/** Refuses the jobs for which their pool has no room until they are of no use. */
export class OutlookAdmission implements Admission {
  constructor(
    private readonly outlooks: Pick<OutlookBoard, "msUntilRoom">,
    private readonly log: DecisionLog,
  ) {}

  check(queue: Queue, spec: JobSpec): Failure | undefined {
    const roomInMs = this.outlooks.msUntilRoom(queue.pool, spec);
    if (roomInMs <= 0) return undefined;
    return {
      code: codes.queueFull,
      message: `no room for ${Math.ceil(roomInMs)} ms more than the job has`,
      retryAfterS: retryAfterRoom(roomInMs, spec.id),
    };
  }

  recordRefused(spec: JobSpec, { message, retryAfterS }: Failure): void {
    const { id: job, queue, workspace } = spec;
    this.log.decision("job-refused", {
      job,
      queue,
      workspace,
      message,
      retryAfterS,
    });
  }
}
