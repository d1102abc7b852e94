/**
 * Steps that found no place in a pass of placement, so that a later one that
 * asks for as much is not tried: in an overload a pass would otherwise look at
 * every endpoint for each of the steps that wait.
 */
import type { JobSpec, Resources, StepSpec } from "../batch/index.ts";
import { roomOf } from "./place.ts";

/**
 * Whether a step takes any endpoint with room for it. One that asks for a
 * label, a spread, tickets or settled endpoints may miss where others fit.
 */
function fitsAnyEndpoint({ advised }: JobSpec, step: StepSpec): boolean {
  return !advised && !step.gang && step.label === "" &&
    step.maxPerEndpoint <= 0 && step.maxUnavailable === undefined;
}

function isAtLeast(a: Resources, b: Resources): boolean {
  return a.cpuMillis >= b.cpuMillis && a.memoryMb >= b.memoryMb &&
    a.gpus >= b.gpus;
}

/** What missed a place in one pass; room only shrinks while it goes on. */
export class UnplacedDemands {
  readonly #unplaced: Resources[] = [];
  #count = 0;

  /** Number of steps that missed. */
  get count(): number {
    return this.#count;
  }

  /** Notes that a step missed. */
  add(spec: JobSpec, step: StepSpec): void {
    this.#count++;
    if (fitsAnyEndpoint(spec, step) && !this.covers(step)) {
      this.#unplaced.push(roomOf(step));
    }
  }

  /** Whether the step would miss as well. */
  covers(step: StepSpec): boolean {
    const demand = roomOf(step);
    return this.#unplaced.some((each) => isAtLeast(demand, each));
  }
}
