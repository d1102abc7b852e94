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
  readonly steps: ReadonlyMap<string, number>;
  readonly runs: number;
}

/** One endpoint in a pass. */
export class Slot implements Candidate {
  readonly id: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly suspicion: number;
  used: Resources;
  /** Runs by step and occurrence, `JOB.OCCURRENCE.STEP`. */
  #steps = new Map<string, number>();
  /** Runs that are not long-running, and those that the pass has placed. */
  #runs = 0;

  constructor(
    session: EndpointSession,
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
    for (const { job, ref, step } of session.runs.values()) {
      this.#count(stepName(job, ref));
      if (!step.longRunning) this.#runs++;
    }
  }

  /** How many runs count against an endpoint that is tried again. */
  get runs(): number {
    return this.#runs;
  }

  get sameStep(): number {
    return this.#steps.get(this.view.step) ?? 0;
  }

  get failedHere(): boolean {
    return this.view.failedAt?.has(this.id) ?? false;
  }

  /** Takes the room of one more task of the step that is looked at. */
  take(step: StepSpec): void {
    this.used = addResources(this.used, roomOf(step));
    this.#count(this.view.step);
    this.#runs++;
  }

  /** What it holds now. */
  save(): SlotState {
    return { used: this.used, steps: new Map(this.#steps), runs: this.#runs };
  }

  /** Goes back to what it held. */
  restore({ used, steps, runs }: SlotState): void {
    this.used = used;
    this.#steps = new Map(steps);
    this.#runs = runs;
  }

  #count(step: string): void {
    this.#steps.set(step, (this.#steps.get(step) ?? 0) + 1);
  }
}
