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
import { degree } from "./suspicion.ts";

/** The task that a pass is looking for a place for. */
export interface TaskView {
  /** Name of its step in its occurrence. */
  step: string;
  /** Endpoints where it has failed. */
  failedAt: ReadonlySet<string> | undefined;
}

/** What a slot holds at one moment, to go back to it. */
export interface SlotState {
  readonly used: Resources;
  /** Number of tasks that the pass has placed there. */
  readonly placed: number;
}

/** One endpoint in a pass. */
export class Slot implements Candidate {
  readonly id: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly suspicion: number;
  used: Resources;
  /** Steps of the tasks that the pass has placed here, in their order. */
  readonly #placed: string[] = [];
  /** Runs that were here before, by step; most passes need not know. */
  #before: ReadonlyMap<string, number> | undefined;

  constructor(
    private readonly session: EndpointSession,
    /** Whether tasks with an availability budget must not come here. */
    readonly isUnsettled: boolean,
    private readonly view: TaskView,
  ) {
    const { id, labels, capacity } = session.endpoint;
    this.id = id;
    this.labels = labels;
    this.capacity = capacity;
    this.suspicion = degree(session.suspicion);
    this.used = session.used;
  }

  /** How many runs count against an endpoint that is tried again. */
  get runs(): number {
    let runs = this.#placed.length;
    for (const { step } of this.session.runs.values()) {
      if (!step.longRunning) runs++;
    }
    return runs;
  }

  get sameStep(): number {
    const { step } = this.view;
    this.#before ??= countSteps(this.session);
    const placed = this.#placed.filter((each) => each === step).length;
    return placed + (this.#before.get(step) ?? 0);
  }

  get failedHere(): boolean {
    return this.view.failedAt?.has(this.id) ?? false;
  }

  /** Takes the room of one more task of the step that is looked at. */
  take(step: StepSpec): void {
    this.used = addResources(this.used, roomOf(step));
    this.#placed.push(this.view.step);
  }

  /** What it holds now. */
  save(): SlotState {
    return { used: this.used, placed: this.#placed.length };
  }

  /** Goes back to what it held. */
  restore({ used, placed }: SlotState): void {
    this.used = used;
    this.#placed.length = placed;
  }
}

/** Runs of an endpoint by step and occurrence, `JOB.OCCURRENCE.STEP`. */
function countSteps(session: EndpointSession): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { job, ref } of session.runs.values()) {
    const name = stepName(job, ref);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}
