/** Booked jobs for the tests of the scheduler's decisions. */
import { queueOf } from "../../sim/pools.ts";
import {
  type JobSpec,
  openOccurrence,
  type StepSpec,
} from "../../src/batch/index.ts";
import { type BookedJob, JobBook } from "../../src/scheduler/index.ts";

/** Books a job whose first occurrence is open, accepted at time 0. */
export function addOpenJob(
  registry: JobBook,
  id: string,
  steps: readonly StepSpec[],
): BookedJob {
  const { name, priority, maxAttempts, sloMs, stretch } = queueOf("quotes");
  const spec: JobSpec = {
    id,
    queue: name,
    payload: "",
    steps: [...steps],
    priority,
    maxAttempts,
    sloMs,
    stretch,
    advised: false,
    acceptedAt: 0,
  };
  const value = JSON.stringify(spec);
  const row = { table: "", partition: "", key: id, value, version: 1 };
  const [job] = registry.takeInbox([{ kind: "put", row }], 0);
  job.progress = openOccurrence(job.progress, spec);
  return job;
}

/** A job in a book of its own. */
export function bookedJob(id: string, steps: readonly StepSpec[]): BookedJob {
  return addOpenJob(new JobBook(), id, steps);
}
