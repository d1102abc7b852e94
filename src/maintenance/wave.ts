/**
 * Maintenance waves: each host is drained, rebooted, checked for health, and
 * returned to service, within the pools' budgets and beginning with a canary.
 *
 * A wave stops by itself when its canary or several of its hosts fail, because
 * the remaining hosts would probably fail for the same cause. After a first
 * failure it drains one host at a time until a host comes back healthy, so hosts
 * that fail for one cause are at most as many as may be out of service at once,
 * or two.
 */
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import { codes, fail, type Failure } from "../errors/index.ts";
import type { Host, HostMap } from "../hosts/index.ts";

/** Key prefix of the wave rows. */
export const waveKeyPrefix = "wave/";

const waveStepSchema = v.object({
  host: v.string(),
  step: v.picklist(["waiting", "draining", "rebooting", "done", "failed"]),
  /** Wall-clock time in ms at which the step began. */
  since: v.number(),
  /** Boot identifier that the endpoint reported before the reboot. */
  boot: v.optional(v.string()),
});

/** Schema of a wave's row. */
export const waveSchema = v.object({
  id: v.string(),
  state: v.picklist([
    "planned",
    "canary",
    /** The canary succeeded; an operator has to approve the other hosts. */
    "awaiting-approval",
    "running",
    "paused",
    "stopped",
    "done",
  ]),
  hosts: v.array(waveStepSchema),
  /** Largest number of hosts out of service at once, over all pools. */
  parallel: v.number(),
  /** Why the wave stopped. */
  reason: v.optional(v.string()),
  /** State to which a resumed wave returns. */
  resumeTo: v.optional(v.picklist(["canary", "running"])),
});

/** A wave as it is stored. */
export type Wave = v.InferOutput<typeof waveSchema>;
/** One host of a wave and its progress. */
export type WaveStep = v.InferOutput<typeof waveStepSchema>;

/** Commands that operators give to a wave. */
export type WaveCommand = "start" | "approve" | "pause" | "resume" | "stop";

/** Number of failed hosts at which a running wave stops. */
const maxFailedHosts = 2;

/** The key of a wave's row. */
export function waveKey(id: string): string {
  return waveKeyPrefix + id;
}

/**
 * Plans a wave over hosts. It takes hosts from the racks of all availability
 * zones in turn, so hosts that are out of service together rarely share a
 * failure domain. `now` is a wall-clock time in ms.
 */
export function planWave(
  id: string,
  hosts: readonly Host[],
  parallel: number,
  now: number,
): Wave {
  const racks = new Map<string, Host[]>();
  for (const host of [...hosts].sort(byName)) {
    const rack = `${host.zone}/${host.rack}`;
    racks.set(rack, [...(racks.get(rack) ?? []), host]);
  }
  const steps: WaveStep[] = [];
  const queues = [...racks.values()];
  while (steps.length < hosts.length) {
    for (const queue of queues) {
      const host = queue.shift();
      if (host === undefined) continue;
      steps.push({ host: host.name, step: "waiting", since: now });
    }
  }
  return { id, state: "planned", hosts: steps, parallel };
}

function byName(a: Host, b: Host): number {
  return a.name.localeCompare(b.name);
}

/** States of a wave in which each command is allowed. */
const allowedStates: Readonly<
  Record<WaveCommand, readonly Wave["state"][]>
> = {
  start: ["planned"],
  approve: ["awaiting-approval"],
  pause: ["canary", "running"],
  resume: ["paused", "stopped"],
  stop: ["planned", "canary", "awaiting-approval", "running", "paused"],
};

/** Applies an operator's command. Fails with `stateConflict`. */
export function commandWave(
  wave: Wave,
  command: WaveCommand,
): Result<Wave, Failure> {
  if (!allowedStates[command].includes(wave.state)) {
    return fail(
      codes.stateConflict,
      `wave ${wave.id} is ${wave.state} and does not ${command}`,
    );
  }
  switch (command) {
    case "start":
      return Ok({ ...wave, state: "canary" });
    case "approve":
      return Ok({ ...wave, state: "running" });
    case "pause": {
      const resumeTo = wave.state === "canary" ? "canary" : "running";
      return Ok({ ...wave, state: "paused", resumeTo });
    }
    case "resume":
      return Ok({
        ...wave,
        state: wave.resumeTo ?? "running",
        reason: undefined,
        hosts: wave.hosts.map(resetFailedStep),
      });
    case "stop":
      return Ok({ ...wave, state: "stopped", reason: "stopped by operator" });
  }
}

/** Sets the step of a failed host back to waiting. */
function resetFailedStep(step: WaveStep): WaveStep {
  return step.step === "failed" ? { ...step, step: "waiting" } : step;
}

/** An action that the controller performs for a wave. */
export type WaveAction =
  | { readonly kind: "drain"; readonly host: string }
  /** Reboots a host again that failed before the wave was resumed. */
  | { readonly kind: "retry"; readonly host: string }
  | { readonly kind: "reboot"; readonly host: string }
  /** Checks whether the host has rebooted since `boot` and is healthy. */
  | { readonly kind: "check"; readonly host: string; readonly boot: string };

/**
 * The next actions of a wave, derived from its state and its hosts' rows. The
 * actions on hosts in progress precede those on further hosts; their outcomes
 * decide whether a further host may be taken out of service.
 */
export function waveActions(wave: Wave, hosts: HostMap): readonly WaveAction[] {
  const outOfService = wave.hosts.filter(isOutOfService);
  const waiting = wave.hosts.filter((s) => s.step === "waiting");
  const places = Math.max(0, drainLimit(wave) - outOfService.length);
  return [
    ...outOfService.flatMap((step) => progressActions(wave, step, hosts)),
    ...waiting.slice(0, places).map((step) => firstAction(wave, step, hosts)),
  ];
}

/** Whether an action takes a further host out of service for the wave. */
export function beginsStep(action: WaveAction): boolean {
  return action.kind === "drain" || action.kind === "retry";
}

/** The first action on a waiting host; one that the wave took out is kept out. */
function firstAction(wave: Wave, step: WaveStep, hosts: HostMap): WaveAction {
  const host = hosts.get(step.host);
  const takenOut = host?.state === "out" && host.cause === wave.id;
  return { kind: takenOut ? "retry" : "drain", host: step.host };
}

function isOutOfService(step: WaveStep): boolean {
  return step.step === "draining" || step.step === "rebooting";
}

/** The next action on a host that is out of service; none while it drains. */
function progressActions(
  wave: Wave,
  step: WaveStep,
  hosts: HostMap,
): readonly WaveAction[] {
  if (step.step === "rebooting") {
    return [{ kind: "check", host: step.host, boot: step.boot ?? "" }];
  }
  const host = hosts.get(step.host);
  const drained = host?.state === "drained" && host.cause === wave.id;
  return drained ? [{ kind: "reboot", host: step.host }] : [];
}

/**
 * Number of hosts up to which the wave drains further ones; 0 when its state
 * allows no drain or is about to change.
 */
function drainLimit(wave: Wave): number {
  if (updateWaveState(wave) !== wave) return 0;
  if (wave.state === "canary") {
    return wave.hosts.every((s) => s.step === "waiting") ? 1 : 0;
  }
  if (wave.state !== "running") return 0;
  return lastOutcomeIsFailure(wave) ? 1 : wave.parallel;
}

/** Whether no host has come back healthy since the last failure. */
function lastOutcomeIsFailure(wave: Wave): boolean {
  const failed = wave.hosts.filter((s) => s.step === "failed");
  if (failed.length === 0) return false;
  const done = wave.hosts.filter((s) => s.step === "done");
  return latestStart(failed) >= latestStart(done);
}

/** Wall-clock time in ms of the latest start of a step; -Infinity for none. */
function latestStart(steps: readonly WaveStep[]): number {
  return Math.max(...steps.map((s) => s.since));
}

/** Returns the wave with one host at a step that begins at `now`. */
export function withHostStep(
  wave: Wave,
  host: string,
  step: WaveStep["step"],
  now: number,
  boot?: string,
): Wave {
  const hosts = wave.hosts.map((s) =>
    s.host === host ? { ...s, step, since: now, boot: boot ?? s.boot } : s
  );
  return { ...wave, hosts };
}

/**
 * Derives the state of a wave from its hosts: stopped after failures, awaiting
 * approval after the canary, or done.
 */
export function updateWaveState(wave: Wave): Wave {
  const failed = wave.hosts.filter((s) => s.step === "failed");
  const names = failed.map((s) => s.host).join(", ");
  if (wave.state === "canary") {
    if (failed.length > 0) {
      const reason = `canary ${names} did not come back healthy`;
      return { ...wave, state: "stopped", reason };
    }
    const canaryDone = wave.hosts.some((s) => s.step === "done");
    return canaryDone ? { ...wave, state: stateAfterCanary(wave) } : wave;
  }
  if (wave.state !== "running") return wave;
  if (failed.length >= maxFailedHosts) {
    const reason = `${names} did not come back healthy`;
    return { ...wave, state: "stopped", reason };
  }
  const hasUnfinished = wave.hosts.some((s) =>
    s.step !== "done" && s.step !== "failed"
  );
  return hasUnfinished ? wave : { ...wave, state: "done" };
}

function stateAfterCanary(wave: Wave): Wave["state"] {
  const hasWaiting = wave.hosts.some((s) => s.step === "waiting");
  return hasWaiting ? "awaiting-approval" : "done";
}
