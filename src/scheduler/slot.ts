/**
 * Room of one endpoint during a pass of placement.
 *
 * A pass looks at every endpoint for every waiting task, thousands of times
 * in a row, so a slot is itself the candidate that the choice looks at; which
 * task the pass is at is in a view that all slots of the pass share.
 */
import { type Resources, stepName, type StepSpec } from "../batch/index.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import { addResources, type Candidate, roomOf } from "./place.ts";
import { failureRatio } from "./suspicion.ts";

/** The task that a pass is looking for a place for. */
export interface CurrentTask {
  /** Name of its step in its occurrence. */
  stepName: string;
  /** Endpoints where it has failed. */
  failedAt: ReadonlySet<string> | undefined;
}

/** What a slot holds at one moment, to go back to it. */
export interface EndpointSnapshot {
  readonly used: Resources;
  /** Number of tasks that the pass has placed there. */
  readonly placedCount: number;
}

/** One endpoint in a pass. */
export class EndpointCandidate implements Candidate {
  readonly id: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly failureRatio: number;
  used: Resources;
  /** Steps of the tasks that the pass has placed here, in their order. */
  readonly #placedSteps: string[] = [];
  /** Runs that were here before, by step; most passes need not know. */
  #runsByStep: ReadonlyMap<string, number> | undefined;

  constructor(
    private readonly session: EndpointSession,
    /** Whether tasks with an availability budget must not come here. */
    readonly mayBeMoved: boolean,
    private readonly current: CurrentTask,
  ) {
    const { id, labels, capacity } = session.endpoint;
    this.id = id;
    this.labels = labels;
    this.capacity = capacity;
    this.failureRatio = failureRatio(session.suspicion);
    this.used = session.used;
  }

  /** How many runs count against an endpoint that is tried again. */
  get runCount(): number {
    let runs = this.#placedSteps.length;
    for (const { step } of this.session.runs.values()) {
      if (!step.longRunning) runs++;
    }
    return runs;
  }

  get sameStepCount(): number {
    const { stepName: name } = this.current;
    this.#runsByStep ??= countRunsByStep(this.session);
    const planned = this.#placedSteps.filter((each) => each === name).length;
    return planned + (this.#runsByStep.get(name) ?? 0);
  }

  get failedHere(): boolean {
    return this.current.failedAt?.has(this.id) ?? false;
  }

  /** Takes the room of one more task of the step that is looked at. */
  reserve(step: StepSpec): void {
    this.used = addResources(this.used, roomOf(step));
    this.#placedSteps.push(this.current.stepName);
  }

  /** What it holds now. */
  save(): EndpointSnapshot {
    return { used: this.used, placedCount: this.#placedSteps.length };
  }

  /** Goes back to what it held. */
  restore({ used, placedCount }: EndpointSnapshot): void {
    this.used = used;
    this.#placedSteps.length = placedCount;
  }
}

/** Runs of an endpoint by step and occurrence, `JOB.OCCURRENCE.STEP`. */
function countRunsByStep(
  session: EndpointSession,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { job, ref } of session.runs.values()) {
    const name = stepName(job, ref);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}
