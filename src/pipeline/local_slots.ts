/**
 * Use of the slots that this entry owns: sends a request to the host of a
 * granted slot and returns the slot when the endpoint is done with it.
 *
 * A run that was given up keeps its slot until the endpoint reports that it
 * is no longer running, so an endpoint never runs more than its slots allow,
 * and a host never changes pools above a run.
 */
import { codes } from "../errors/index.ts";
import type { Clock } from "../clock/index.ts";
import { type EndpointClient, isStream } from "../endpoint/index.ts";
import type { Host } from "../hosts/index.ts";
import type { EndpointRequest, Outcome } from "./request.ts";
import type { Scheduler, SlotOutcome } from "./scheduler.ts";

const runQueryIntervalMs = 300;
const serverError = 500;

/** Decides whether this process may send to endpoints at this moment. */
export interface SendGuard {
  /** False after a pause, until the registration is confirmed again. */
  maySend(): boolean;
}

/** Sends requests on granted slots. */
export class LocalSlots {
  constructor(
    private readonly scheduler: Scheduler,
    private readonly endpoints: EndpointClient,
    private readonly guard: SendGuard,
    private readonly clock: Clock,
  ) {}

  /** Gives back a granted slot that was not used. */
  releaseUnused(host: Host): void {
    this.scheduler.release(host.name, "neutral");
  }

  /** Sends a request on a granted slot; the slot is returned afterwards. */
  async send(
    host: Host,
    req: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Outcome> {
    if (!this.guard.maySend() || signal.aborted) {
      this.releaseUnused(host);
      const code = signal.aborted ? codes.cancelled : codes.connectFailed;
      return {
        kind: "failed",
        failure: { code, message: `not sent to ${host.name}` },
      };
    }
    const outcome = await this.endpoints.send(host, req, signal);
    this.#releaseAfter(host, req, outcome, signal);
    return outcome;
  }

  #releaseAfter(
    host: Host,
    req: EndpointRequest,
    outcome: Outcome,
    signal: AbortSignal,
  ): void {
    if (outcome.kind === "failed") {
      const slotOutcome = signal.aborted ? "neutral" : "failure";
      if (outcome.failure.code.run === "not-run") {
        this.scheduler.release(host.name, slotOutcome);
      } else {
        this.#releaseWhenEnded(host, req.attempt, slotOutcome);
      }
      return;
    }
    const slotOutcome = outcome.status >= serverError ? "failure" : "success";
    const { body } = outcome;
    if (!isStream(body)) return this.scheduler.release(host.name, slotOutcome);
    let released = false;
    const finish = (complete: boolean) => {
      if (released) return;
      released = true;
      if (complete) this.scheduler.release(host.name, slotOutcome);
      else this.#releaseWhenEnded(host, req.attempt, "failure");
    };
    body.once("end", () => finish(true));
    body.once("error", () => finish(false));
    body.once("close", () => finish(false));
  }

  async #releaseWhenEnded(
    host: Host,
    attempt: string,
    slotOutcome: SlotOutcome,
  ): Promise<void> {
    const run = await this.endpoints.queryRun(host, { attempt });
    if (run.ok && run.val.state !== "running") {
      return this.scheduler.release(host.name, slotOutcome);
    }
    this.clock.after(runQueryIntervalMs, () => {
      this.#releaseWhenEnded(host, attempt, slotOutcome);
    });
  }
}
