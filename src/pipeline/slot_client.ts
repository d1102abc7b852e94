/**
 * Client side of forwarded requests: acquires and uses slots of hosts that
 * another entry owns, over the peer links.
 *
 * The entry that forwards a request is its origin; the entry that owns the host
 * is the owner.
 */
import { PassThrough } from "node:stream";
import { Err, Ok, type Result } from "ts-results";
import { codes, type Failure, resultCode } from "../errors/index.ts";
import type { Clock, IdSource } from "../clock/index.ts";
import type { Message, MessageOf } from "../peers/index.ts";
import type { EndpointRequest, Outcome } from "./request.ts";
import type { PoolLoad } from "./slot_scheduler.ts";

/** Time in ms that an owner has to reply after a latest start or a run time. */
const ownerGraceMs = 500;

/** Sends messages to connected entries. */
export interface PeerSender {
  /** Sends a message; false when the entry is not connected. */
  send(entry: string, message: Message): boolean;
}

/** A request to another entry for a slot. */
export interface TicketRequest {
  /** Name of the class. */
  readonly class: string;
  /** Time in ms until the latest start; undefined without a limit. */
  readonly startInMs?: number;
  /** Hosts that failed this request; used only if no other has a free slot. */
  readonly avoid: readonly string[];
}

/** A slot granted by another entry. */
export interface RemoteGrant {
  readonly id: string;
  readonly entry: string;
  readonly host: string;
  /** Load of the pool on the entry after the grant. */
  readonly load: PoolLoad;
}

/** A ticket at another entry. */
export interface RemoteTicket {
  /** The grant, or the reason why there is none. */
  readonly result: Promise<Result<RemoteGrant, Failure>>;
  /** Withdraws the ticket; a pending result fails with `cancelled`. */
  cancel(): void;
}

/** A ticket without a result. */
interface PendingTicket {
  readonly entry: string;
  settle(result: Result<RemoteGrant, Failure>): void;
}

/** A run whose answer is not complete. */
interface PendingRun {
  readonly entry: string;
  settle(outcome: Outcome): void;
  /** Stream of an answer that arrives in chunks. */
  body?: PassThrough;
  /** Bytes received in chunks. */
  received: number;
}

function peerLost(entry: string): Failure {
  return {
    code: codes.peerLost,
    message: `link to entry ${entry} broke during the run`,
  };
}

/** Acquires and uses slots that other entries own. */
export class SlotClient {
  #pendingTickets = new Map<string, PendingTicket>();
  #pendingRuns = new Map<string, PendingRun>();
  /** Number of messages that belonged to no pending ticket or run. */
  lateFrames = 0;

  constructor(
    private readonly peers: PeerSender,
    private readonly ids: IdSource,
    private readonly clock: Clock,
  ) {}

  /**
   * Requests a slot from an entry. The result fails with the owner's refusal,
   * with `deadline` when the owner does not reply in time, or with `noHost` when
   * the entry is not connected or the link breaks. The request has not run in
   * any of these cases.
   */
  acquire(entry: string, ticket: TicketRequest): RemoteTicket {
    const id = this.ids.next();
    let cancelTimer = () => {};
    const result = new Promise<Result<RemoteGrant, Failure>>((resolve) => {
      this.#pendingTickets.set(id, {
        entry,
        settle: (outcome) => {
          this.#pendingTickets.delete(id);
          cancelTimer();
          resolve(outcome);
        },
      });
    });
    const sent = this.peers.send(entry, {
      kind: "acquire",
      id,
      class: ticket.class,
      startInMs: ticket.startInMs,
      avoid: [...ticket.avoid],
    });
    if (!sent) this.#rejectTicket(id, codes.noHost.code);
    else if (ticket.startInMs !== undefined) {
      const timeoutMs = ticket.startInMs + ownerGraceMs;
      cancelTimer = this.clock.after(
        timeoutMs,
        () => this.#withdrawTicket(id, codes.deadline.code),
      );
    }
    return {
      result,
      cancel: () => this.#withdrawTicket(id, codes.cancelled.code),
    };
  }

  /** Releases a granted slot that was not used. */
  releaseUnused(grant: RemoteGrant): void {
    this.peers.send(grant.entry, { kind: "cancel", id: grant.id });
  }

  /**
   * Sends a request on a granted slot. The outcome is a failure with `peerLost`
   * when the link breaks during the run, and with `runTimeout` when no answer
   * arrives in time.
   */
  async send(
    grant: RemoteGrant,
    req: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const { id, entry } = grant;
    if (signal.aborted) {
      this.releaseUnused(grant);
      return notSent(codes.cancelled, entry);
    }
    let settle: (outcome: Outcome) => void = () => {};
    const outcome = new Promise<Outcome>((resolve) => settle = resolve);
    this.#pendingRuns.set(id, { entry, settle, received: 0 });
    const sent = this.peers.send(entry, {
      kind: "run",
      id,
      attempt: req.attempt,
      method: req.method,
      path: req.path,
      headers: { ...req.headers },
      body: req.body,
      runMs: req.runMs,
    });
    if (!sent) {
      this.#pendingRuns.delete(id);
      return notSent(codes.connectFailed, entry);
    }
    const abort = () => this.peers.send(entry, { kind: "cancel", id });
    signal.addEventListener("abort", abort);
    const cancelTimer = this.clock.after(
      req.runMs + ownerGraceMs,
      () => this.#timeOut(id),
    );
    const result = await outcome;
    cancelTimer();
    signal.removeEventListener("abort", abort);
    return result;
  }

  /** Handles a message from an owner; false when it is of another kind. */
  handle(entry: string, message: Message): boolean {
    switch (message.kind) {
      case "granted":
        this.#handleGrant(entry, message);
        return true;
      case "refused":
        this.#rejectTicket(message.id, message.code);
        return true;
      case "answer":
        this.#handleAnswer(message);
        return true;
      case "chunk":
        this.#handleChunk(message);
        return true;
      case "end":
        this.#handleEnd(message);
        return true;
      case "failed":
        this.#handleFailure(message);
        return true;
      default:
        return false;
    }
  }

  /** Fails every pending ticket and run at an entry whose link broke. */
  handlePeerLeft(entry: string): void {
    for (const [id, ticket] of this.#pendingTickets) {
      if (ticket.entry === entry) this.#rejectTicket(id, codes.noHost.code);
    }
    for (const [id, run] of this.#pendingRuns) {
      if (run.entry !== entry) continue;
      this.#pendingRuns.delete(id);
      run.settle({ kind: "failed", failure: peerLost(entry) });
      run.body?.destroy(new Error(peerLost(entry).message));
    }
  }

  #handleGrant(entry: string, message: MessageOf<"granted">): void {
    const ticket = this.#pendingTickets.get(message.id);
    if (ticket === undefined || ticket.entry !== entry) {
      this.lateFrames++;
      this.peers.send(entry, { kind: "cancel", id: message.id });
      return;
    }
    const { id, host, load } = message;
    ticket.settle(Ok({ id, entry, host, load }));
  }

  /** Fails a pending ticket with the result code of this number. */
  #rejectTicket(id: string, codeNumber: number): void {
    const ticket = this.#pendingTickets.get(id);
    if (ticket === undefined) {
      this.lateFrames++;
      return;
    }
    const code = resultCode(codeNumber);
    ticket.settle(
      new Err({ code, message: `${ticket.entry}: ${code.meaning}` }),
    );
  }

  /** Withdraws a pending ticket at its owner and fails it with the code. */
  #withdrawTicket(id: string, code: number): void {
    const ticket = this.#pendingTickets.get(id);
    if (ticket === undefined) return;
    this.peers.send(ticket.entry, { kind: "cancel", id });
    this.#rejectTicket(id, code);
  }

  #handleAnswer(message: MessageOf<"answer">): void {
    const run = this.#findRun(message.id);
    if (run === undefined) return;
    const { status, headers } = message;
    if (message.body !== undefined) {
      this.#pendingRuns.delete(message.id);
      run.settle({ kind: "answer", status, headers, body: message.body });
      return;
    }
    run.body = new PassThrough();
    run.body.on("error", () => {});
    run.settle({ kind: "answer", status, headers, body: run.body });
  }

  #handleChunk(message: MessageOf<"chunk">): void {
    const run = this.#findRun(message.id);
    if (run === undefined) return;
    run.received += message.data.length;
    run.body?.write(message.data);
  }

  #handleEnd(message: MessageOf<"end">): void {
    const run = this.#findRun(message.id);
    if (run === undefined) return;
    this.#pendingRuns.delete(message.id);
    if (message.complete && message.bytes === run.received) run.body?.end();
    else run.body?.destroy(new Error("the endpoint's answer was truncated"));
  }

  #handleFailure(message: MessageOf<"failed">): void {
    const run = this.#findRun(message.id);
    if (run === undefined) return;
    this.#pendingRuns.delete(message.id);
    const code = resultCode(message.code);
    run.settle({
      kind: "failed",
      failure: { code, message: message.message },
    });
  }

  /** Fails a run whose answer has not started in time. */
  #timeOut(id: string): void {
    const run = this.#pendingRuns.get(id);
    if (run === undefined || run.body !== undefined) return;
    this.#pendingRuns.delete(id);
    this.peers.send(run.entry, { kind: "cancel", id });
    run.settle({
      kind: "failed",
      failure: {
        code: codes.runTimeout,
        message: `no answer from entry ${run.entry} within the run time`,
      },
    });
  }

  /** Returns a pending run; counts a late message when there is none. */
  #findRun(id: string): PendingRun | undefined {
    const run = this.#pendingRuns.get(id);
    if (run === undefined) this.lateFrames++;
    return run;
  }
}

function notSent(code: Failure["code"], entry: string): Outcome {
  return {
    kind: "failed",
    failure: { code, message: `not sent to entry ${entry}` },
  };
}
