/**
 * Tracks the resources of one endpoint during a placement pass.
 *
 * A pass examines every endpoint for each of thousands of waiting tasks. So it
 * creates one candidate per endpoint for all tasks, and all candidates share
 * one record of the current task.
 */
import {
  addResources,
  noResources,
  reservedResources,
  type Resources,
  stepName,
  type StepSpec,
} from "../batch/index.ts";
import { type EndpointSession, failureRatio } from "../sessions/index.ts";
import type { PlacementCandidate } from "./endpoint_choice.ts";

/**
 * Age from which a run is not expected to end soon, in ms. It is longer than
 * most runs take on a slow endpoint.
 */
const maxSoonEndingRunMs = 10_000;

/** The task for which a pass is choosing an endpoint, and the time. */
export interface CurrentTask {
  /** Monotonic time of the pass, in ms. */
  readonly now: number;
  /** Name of its step and occurrence, `JOB.OCCURRENCE.STEP`. */
  stepName: string;
  /** Ids of the endpoints where the task has failed; undefined for none. */
  failedEndpoints: ReadonlySet<string> | undefined;
}

/** State of a candidate to which it can be restored. */
export interface EndpointSnapshot {
  readonly used: Resources;
  /** Resources of the long-running tasks that the pass has planned there. */
  readonly plannedLastingUse: Resources;
  /** Number of tasks that the pass has planned there. */
  readonly placedCount: number;
}

/** An endpoint that may receive tasks in a placement pass. */
export class EndpointCandidate implements PlacementCandidate {
  readonly id: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly failureRatio: number;
  used: Resources;
  /** Step names of the tasks that the pass has planned here, oldest first. */
  readonly #placedSteps: string[] = [];
  /** Resources of the long-running tasks that the pass has planned here. */
  #plannedLastingUse = noResources;
  /** Resources of the present runs that do not end soon, once computed. */
  #runsLastingUse: Resources | undefined;
  /**
   * Number of runs before the pass, by step name; computed on first use,
   * because most passes do not need it.
   */
  #runsByStep: ReadonlyMap<string, number> | undefined;

  constructor(
    private readonly session: EndpointSession,
    /** Whether its host may still be moved to another pool. */
    readonly mayBeMoved: boolean,
    private readonly current: CurrentTask,
  ) {
    const { id, labels, capacity } = session.endpoint;
    this.id = id;
    this.labels = labels;
    this.capacity = capacity;
    this.failureRatio = failureRatio(session.failures);
    this.used = session.used;
  }

  /**
   * Number of runs and planned tasks, not counting long-running runs. An
   * endpoint is probed after its backoff only when it has none.
   */
  get runCount(): number {
    let runs = this.#placedSteps.length;
    for (const { step } of this.session.runs.values()) {
      if (!step.longRunning) runs++;
    }
    return runs;
  }

  /** Number of runs and planned tasks of the current step. */
  get sameStepCount(): number {
    const { stepName: name } = this.current;
    this.#runsByStep ??= countRunsByStep(this.session);
    const planned = this.#placedSteps.filter((each) => each === name).length;
    return planned + (this.#runsByStep.get(name) ?? 0);
  }

  /**
   * Resources that are not expected to be free soon: those of long-running
   * tasks, and of runs that have lasted for long.
   */
  get lastingUse(): Resources {
    this.#runsLastingUse ??= sumLastingUse(this.session, this.current.now);
    return addResources(this.#runsLastingUse, this.#plannedLastingUse);
  }

  /** Whether the current task has failed on this endpoint. */
  get failedHere(): boolean {
    return this.current.failedEndpoints?.has(this.id) ?? false;
  }

  /** Reserves the resources of one task of the current step. */
  reserve(step: StepSpec): void {
    const resources = reservedResources(step);
    this.used = addResources(this.used, resources);
    if (step.longRunning) {
      this.#plannedLastingUse = addResources(
        this.#plannedLastingUse,
        resources,
      );
    }
    this.#placedSteps.push(this.current.stepName);
  }

  /** Returns a snapshot of the present state. */
  save(): EndpointSnapshot {
    return {
      used: this.used,
      plannedLastingUse: this.#plannedLastingUse,
      placedCount: this.#placedSteps.length,
    };
  }

  /** Restores the state of a snapshot. */
  restore(
    { used, plannedLastingUse, placedCount }: EndpointSnapshot,
  ): void {
    this.used = used;
    this.#plannedLastingUse = plannedLastingUse;
    this.#placedSteps.length = placedCount;
  }
}

/** Counts the runs of an endpoint by step name, `JOB.OCCURRENCE.STEP`. */
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

/** Sums the resources of the runs that do not end soon after `now`. */
function sumLastingUse({ runs }: EndpointSession, now: number): Resources {
  let sum = noResources;
  for (const { step, phaseChangedAt } of runs.values()) {
    const isLasting = step.longRunning ||
      now - phaseChangedAt >= maxSoonEndingRunMs;
    if (isLasting) sum = addResources(sum, reservedResources(step));
  }
  return sum;
}
