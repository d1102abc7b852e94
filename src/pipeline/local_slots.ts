/**
 * Use of slots on hosts that this entry owns: sends a request to the host of a
 * granted slot, and releases the slot when the endpoint has finished the run.
 *
 * A run whose outcome is unknown keeps its slot until the endpoint reports that
 * it is no longer running. An endpoint therefore never runs more requests than
 * its host has slots, and a host never changes pools while a run is in
 * progress.
 */
import { codes } from "../errors/index.ts";
import type { Clock } from "../clock/index.ts";
import { type EndpointClient, isStream } from "../endpoint/index.ts";
import type { Host } from "../hosts/index.ts";
import type { EndpointRequest, Outcome } from "./request.ts";
import type { PoolLoad, SlotScheduler } from "./slot_scheduler.ts";
import type { SlotOutcome } from "./ticket.ts";

/** Interval in ms between queries whether a run is still in progress. */
const runQueryIntervalMs = 300;
/** Lowest HTTP status that counts as a failure of the endpoint. */
const serverError = 500;

/** Tells whether this process may send to endpoints. */
export interface SendGuard {
  /**
   * False after the start and after a pause of the process, until this entry
   * has read that it is registered.
   */
  maySend(): boolean;
}

/** Sends requests on granted slots of owned hosts. */
export class LocalSlots {
  constructor(
    private readonly scheduler: SlotScheduler,
    private readonly endpoints: EndpointClient,
    private readonly guard: SendGuard,
    private readonly clock: Clock,
  ) {}

  /**
   * Returns the load of a pool on the owned hosts. While sending is not allowed
   * it has no slots, so that requests use those of other entries, or wait.
   */
  load(pool: string): PoolLoad {
    const load = this.scheduler.load(pool);
    return this.guard.maySend() ? load : { ...load, slots: 0, free: 0 };
  }

  /** Releases a granted slot that was not used. */
  releaseUnused(host: Host): void {
    this.scheduler.release(host.name, "neutral");
  }

  /**
   * Sends a request on a granted slot, and releases the slot after the run. When
   * sending is not allowed or `signal` is aborted, the outcome is a failure with
   * `connectFailed` or `cancelled`, and nothing was sent.
   */
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
        failure: { code, message: `not sent to host ${host.name}` },
      };
    }
    const outcome = await this.endpoints.send(host, req, signal);
    this.#releaseAfter(host, req, outcome, signal);
    return outcome;
  }

  /**
   * Releases the slot when the run has ended: at once, after the last byte of a
   * streamed body, or when the endpoint reports the end.
   */
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

  /** Queries the endpoint until the run has ended, then releases the slot. */
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
