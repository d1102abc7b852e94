/**
 * Records the resource demands that fitted on no endpoint in a placement pass,
 * so that later steps with an equal or larger demand are skipped. Otherwise a
 * pass in an overload would examine every endpoint for every waiting step.
 */
import {
  fitsInto,
  type JobSpec,
  reservedResources,
  type Resources,
  type StepSpec,
} from "../batch/index.ts";

/**
 * Returns whether resources alone decide where the step fits. A gang, or a step
 * that needs a label, spreading, tickets or an endpoint that won't be moved, may
 * fail to fit where others with the same demand do.
 */
function dependsOnResourcesOnly({ advised }: JobSpec, step: StepSpec): boolean {
  return !advised && !step.gang && step.label === "" &&
    step.maxPerEndpoint <= 0 && step.maxUnavailable === undefined;
}

/**
 * Unplaced demands of one pass. They stay valid until its end, because free
 * resources only shrink during a pass.
 */
export class UnplacedDemands {
  readonly #unplaced: Resources[] = [];

  /** Records a step of which a task fitted nowhere. */
  add(spec: JobSpec, step: StepSpec): void {
    if (dependsOnResourcesOnly(spec, step) && !this.covers(step)) {
      this.#unplaced.push(reservedResources(step));
    }
  }

  /** Returns whether the step needs at least as much as an unplaced demand. */
  covers(step: StepSpec): boolean {
    const demand = reservedResources(step);
    return this.#unplaced.some((each) => fitsInto(each, demand));
  }
}
