/** One submission of a job, whose writes may be attempted several times. */
import { Err, Ok, type Result } from "ts-results";
import type { Queue } from "../catalog/index.ts";
import type { Store, StoreFailure } from "../store/index.ts";
import type { QueuePools } from "./queue_pools.ts";
import {
  firstStep,
  nextStep,
  type SubmissionStep,
  transactionOf,
} from "./submission_steps.ts";

/** Most writes of one attempt: more forwards than a queue has in practice. */
const maxWrites = 8;

/** Dependencies of a {@link Submission}. */
export interface SubmissionDependencies {
  readonly store: Store;
  readonly pools: QueuePools;
}

/** Stores a job of a queue. */
export class Submission {
  /** The write that comes next; undefined before the queue's home is known. */
  #step: SubmissionStep | undefined;

  constructor(
    private readonly deps: SubmissionDependencies,
    private readonly queue: Queue,
    /** Id of the job. */
    private readonly job: string,
    /** Value of the job's row. */
    private readonly value: string,
  ) {}

  /** Writes until the job is stored or a call fails. */
  async attempt(): Promise<Result<"stored", StoreFailure>> {
    const { store, pools } = this.deps;
    if (this.#step === undefined) {
      const home = await pools.home(this.queue);
      if (home.err) return home;
      this.#step = firstStep(home.val, this.queue.pool);
    }
    for (let writes = 0; writes < maxWrites; writes++) {
      const tx = transactionOf(this.#step, this.job, this.value);
      const outcome = await store.commit(tx);
      if (outcome.err) return outcome;
      const next = nextStep(this.#step, this.job, outcome.val);
      if (next === "stored") return Ok(next);
      if (next === this.#step) break;
      this.#step = next;
    }
    const message = "the answer does not say where the job is";
    return Err({ kind: "unknown", message });
  }
}
