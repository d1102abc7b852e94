/**
 * The host row, its states, and the transitions between them.
 *
 * Every transition increments the row's epoch. An entry applies only rows with
 * a higher epoch than it knows. A drain is finished only when each entry
 * registered for the host's availability zone has confirmed the epoch with no
 * work in flight to the host.
 */
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import { codes, fail, type Failure } from "../errors/index.ts";

/** Prefix of the keys of host rows in the platform's table. */
export const hostKeyPrefix = "host/";

/** States of a host. */
export const hostStates = [
  /** Receives the work of its pool. */
  "serving",
  /** Receives no new work; work in flight finishes. */
  "draining",
  /** No registered entry has work in flight to the host. */
  "drained",
  /** Under maintenance, for example a reboot. */
  "out",
  /** Being removed from the fleet; never serves again. */
  "leaving",
] as const;

/** Schema of a host row, as stored by the platform and sent to peers. */
export const hostSchema = v.object({
  name: v.string(),
  zone: v.string(),
  rack: v.string(),
  /** Base URL of the endpoint. */
  address: v.string(),
  /** Number of requests that the endpoint may run at the same time. */
  slots: v.number(),
  /** Connection limit of the endpoint, as the platform lists it. */
  connections: v.number(),
  pool: v.string(),
  state: v.picklist(hostStates),
  /** Incremented by every change of the row. */
  epoch: v.number(),
  /** Pool that a draining host joins when the drain is finished. */
  target: v.optional(v.string()),
  /** Origin of the change: `operator`, `move`, `platform`, or a wave id. */
  cause: v.optional(v.string()),
});

/** A host row. */
export type Host = v.InferOutput<typeof hostSchema>;
/** The state of a host. */
export type HostState = Host["state"];

/** Returns the key of a host's row. */
export function hostKey(name: string): string {
  return hostKeyPrefix + name;
}

/** Whether the host's state allows new work to be sent to it. */
export function isServing(host: Host): boolean {
  return host.state === "serving";
}

/**
 * Starts to drain a serving host, to move it to the pool `target` if one is
 * given. Fails with `stateConflict` when the host is not serving.
 */
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

/** Marks a host as leaving because the platform lists it so. */
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
 * Finishes a drain that every registered entry has confirmed. A host with a
 * target pool serves that pool; any other host becomes drained.
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

/** Starts maintenance on a drained host; does not check the state. */
export function startMaintenance(host: Host): Host {
  return { ...host, state: "out", epoch: host.epoch + 1 };
}

/**
 * Returns a host to service in its pool. Fails with `stateConflict` when the
 * host is serving already or is leaving.
 */
export function returnToService(host: Host): Result<Host, Failure> {
  if (host.state === "serving" || host.state === "leaving") {
    return fail(
      codes.stateConflict,
      `host ${host.name} is ${host.state} and cannot return to service`,
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
