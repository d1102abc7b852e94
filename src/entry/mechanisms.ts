/**
 * The safety mechanisms of an entry, as values that tests replace one at a
 * time to show what each of them prevents.
 */
import { applyFleetEvent } from "../fleet/index.ts";
import { checkBudget, type Confirmer } from "../maintenance/index.ts";
import type { SendGuard } from "../pipeline/index.ts";

/** Replaceable mechanisms. */
export interface Mechanisms {
  /** Wraps the question whether an entry has confirmed an epoch. */
  confirmer(inner: Confirmer): Confirmer;
  /** Wraps the block on sending after a pause. */
  guard(inner: SendGuard): SendGuard;
  /** Applies news about the fleet. */
  readonly applyFleetEvent: typeof applyFleetEvent;
  /** Decides whether a host may become unavailable. */
  readonly checkBudget: typeof checkBudget;
  /** Whether an at-most-once run commits its start before it is sent. */
  readonly startBeforeSend: boolean;
  /** Whether a host changes pools only when its endpoint reports no run. */
  readonly endpointIdleProbe: boolean;
}

/** The mechanisms of a real entry. */
export const ownMechanisms: Mechanisms = {
  confirmer: (inner) => inner,
  guard: (own) => own,
  applyFleetEvent,
  checkBudget,
  startBeforeSend: true,
  endpointIdleProbe: true,
};
