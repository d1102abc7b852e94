/**
 * A host's row and the epochs that order its changes.
 *
 * Every change raises the epoch. An entry applies only higher epochs, and a
 * change takes its next step only when each entry registered for the host's
 * availability zone has confirmed the epoch with nothing in flight.
 */
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import { codes, fail, type Failure } from "../errors/index.ts";

/** Prefix of host rows in the platform's table. */
export const hostPrefix = "host/";

export const hostStates = [
  /** Receives the work of its pool. */
  "serving",
  /** Receives no new work; work in flight finishes. */
  "draining",
  /** Nothing is in flight on any registered entry. */
  "drained",
  /** Under maintenance, for example rebooting. */
  "out",
  /** Leaves the fleet for good. */
  "leaving",
] as const;

export const hostSchema = v.object({
  name: v.string(),
  zone: v.string(),
  rack: v.string(),
  /** Base URL of the endpoint. */
  address: v.string(),
  slots: v.number(),
  connections: v.number(),
  pool: v.string(),
  state: v.picklist(hostStates),
  epoch: v.number(),
  /** Pool that a draining host moves to. */
  target: v.optional(v.string()),
  /** What ordered the change: `operator`, `move`, `platform`, or a wave id. */
  cause: v.optional(v.string()),
});

export type Host = v.InferOutput<typeof hostSchema>;
export type HostState = Host["state"];

/** The key of a host's row. */
export function hostKey(name: string): string {
  return hostPrefix + name;
}

/** Whether work in the host's state may be sent to it. */
export function isServing(host: Host): boolean {
  return host.state === "serving";
}

/** Takes a serving host out of service. Fails with `stateConflict`. */
export function startDrain(
  host: Host,
  cause: string,
  target?: string,
): Result<Host, Failure> {
  if (host.state !== "serving") {
    return fail(
      codes.stateConflict,
      `host ${host.name} is ${host.state}, not serving`,
    );
  }
  return Ok({
    ...host,
    state: "draining",
    epoch: host.epoch + 1,
    cause,
    target,
  });
}

/** Marks a host that the platform lists as leaving. */
export function markLeaving(host: Host): Host {
  return {
    ...host,
    state: "leaving",
    epoch: host.epoch + 1,
    cause: "platform",
    target: undefined,
  };
}

/**
 * The step that follows a drain that every registered entry has confirmed:
 * a moving host serves its new pool, any other is drained.
 */
export function finishDrain(host: Host): Host {
  const epoch = host.epoch + 1;
  if (host.target === undefined) return { ...host, state: "drained", epoch };
  return {
    ...host,
    state: "serving",
    pool: host.target,
    epoch,
    target: undefined,
    cause: undefined,
  };
}

/** Begins maintenance on a drained host. */
export function startMaintenance(host: Host): Host {
  return { ...host, state: "out", epoch: host.epoch + 1 };
}

/** Returns a host to its pool. Fails with `stateConflict`. */
export function returnToService(host: Host): Result<Host, Failure> {
  if (host.state === "serving" || host.state === "leaving") {
    return fail(
      codes.stateConflict,
      `host ${host.name} is ${host.state} and does not return`,
    );
  }
  return Ok({
    ...host,
    state: "serving",
    epoch: host.epoch + 1,
    target: undefined,
    cause: undefined,
  });
}
