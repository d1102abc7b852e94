/**
 * Tells whether the tasks of a job can run on a host.
 *
 * A task that is larger than any host can be will never run. One that is only
 * larger than all known hosts may still run, because a larger host may join.
 */
import {
  fitsInto,
  type JobSpec,
  mayFitAnyHost,
  reservedResources,
  type Resources,
  type StepSpec,
} from "../batch/index.ts";

/** A step whose tasks fit on no host: on none that can be, or that is known. */
export interface OversizedStep {
  readonly kind: "unrunnable" | "no-host";
  readonly step: StepSpec;
}

/**
 * Finds a step whose tasks fit on no host; undefined if there is none. Without
 * known hosts only tasks that no host can run are found.
 */
export function findOversizedStep(
  { steps }: JobSpec,
  knownHosts: readonly Resources[],
): OversizedStep | undefined {
  const unrunnable = steps.find((step) => !mayFitAnyHost(step));
  if (unrunnable !== undefined) return { kind: "unrunnable", step: unrunnable };
  if (knownHosts.length === 0) return undefined;
  const withoutHost = steps.find((step) =>
    !knownHosts.some((host) => fitsInto(reservedResources(step), host))
  );
  return withoutHost && { kind: "no-host", step: withoutHost };
}
