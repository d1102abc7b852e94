/**
 * The safety mechanisms of an entry as replaceable values. Tests disable one
 * at a time and expect the fault that it prevents.
 */
import { applyFleetEvent } from "../fleet/index.ts";
import { checkBudget, type Confirmer } from "../maintenance/index.ts";
import type { SendGuard } from "../pipeline/index.ts";

/** The safety mechanisms of an entry. */
export interface Mechanisms {
  /** Wraps the check whether an entry has confirmed a host's epoch. */
  wrapConfirmer(inner: Confirmer): Confirmer;
  /** Wraps the guard that blocks sending after a pause of the process. */
  wrapSendGuard(inner: SendGuard): SendGuard;
  /** Applies events to an entry's view of the fleet. */
  readonly applyFleetEvent: typeof applyFleetEvent;
  /** Decides whether a host may become unavailable. */
  readonly checkBudget: typeof checkBudget;
  /** Whether the start of an at-most-once run is committed before sending. */
  readonly commitStartBeforeSend: boolean;
  /** Whether the endpoint is asked for runs in progress before a drain ends. */
  readonly endpointIdleProbe: boolean;
}

/** The mechanisms in production: all enabled. */
export const defaultMechanisms: Mechanisms = {
  wrapConfirmer: (inner) => inner,
  wrapSendGuard: (inner) => inner,
  applyFleetEvent,
  checkBudget,
  commitStartBeforeSend: true,
  endpointIdleProbe: true,
};
