/**
 * Server side of forwarded requests: grants slots of hosts that this entry owns
 * to other entries, the origins, and runs their requests on them.
 */
import { codes } from "../errors/index.ts";
import type { Clock } from "../clock/index.ts";
import { isStream } from "../endpoint/index.ts";
import type { Host } from "../hosts/index.ts";
import type { AcquireMessage, Message, RunMessage } from "../peers/index.ts";
import type { Table } from "../table/index.ts";
import type { LocalSlots } from "./local_slots.ts";
import type { Answer } from "./request.ts";
import type { SlotScheduler } from "./slot_scheduler.ts";
import type { PeerSender } from "./slot_client.ts";

/** A granted slot is released when no request follows within this time, in ms. */
const grantTimeoutMs = 1_000;
/** Largest size of a chunk of an answer's body, in bytes. */
const chunkBytes = 65_536;
/** Sending to an origin pauses while more than this is buffered, in bytes. */
const maxBacklogBytes = 1_048_576;
/** Interval in ms between checks of the buffered bytes during a pause. */
const backlogPauseMs = 10;

/** Sends messages to connected entries, and reports how much is buffered. */
export interface PeerLinks extends PeerSender {
  /** Bytes buffered on the link to an entry. */
  backlog(entry: string): number;
}

/** A granted slot whose request has not arrived yet. */
interface PendingGrant {
  readonly entry: string;
  readonly host: Host;
  /** Stops the timer that releases the slot. */
  readonly cancelTimer: () => void;
}

/** A run of a forwarded request. */
interface ForwardedRun {
  readonly entry: string;
  readonly abortController: AbortController;
}

/** Grants slots to other entries and runs the requests that they forward. */
export class SlotServer {
  #grants = new Map<string, PendingGrant>();
  #runs = new Map<string, ForwardedRun>();
  /** Origin of each waiting ticket. */
  #originByTicket = new Map<string, string>();

  constructor(
    private readonly scheduler: SlotScheduler,
    private readonly local: LocalSlots,
    private readonly peers: PeerLinks,
    private readonly table: () => Table,
    private readonly clock: Clock,
  ) {}

  /** Handles a message from an origin; false when it is of another kind. */
  handle(entry: string, message: Message): boolean {
    switch (message.kind) {
      case "acquire":
        this.#handleAcquire(entry, message);
        return true;
      case "run":
        this.#handleRun(entry, message);
        return true;
      case "cancel":
        this.#handleCancel(entry, message.id);
        return true;
      default:
        return false;
    }
  }

  /**
   * Withdraws the tickets and releases the unused grants of an entry whose link
   * broke. Its runs go on.
   */
  handlePeerLeft(entry: string): void {
    for (const [id, origin] of this.#originByTicket) {
      if (origin === entry) this.#withdrawTicket(id);
    }
    for (const [id, grant] of this.#grants) {
      if (grant.entry === entry) this.#reclaimGrant(id);
    }
  }

  #handleAcquire(entry: string, message: AcquireMessage): void {
    const row = this.table().class(message.class);
    if (row === undefined) {
      return this.#sendRefusal(entry, message.id, codes.unknownClass.code);
    }
    if (this.local.load(row.pool).slots === 0) {
      return this.#sendRefusal(entry, message.id, codes.noHost.code);
    }
    const startBy = message.startInMs === undefined
      ? undefined
      : this.clock.now() + message.startInMs;
    this.#originByTicket.set(message.id, entry);
    this.scheduler.acquire({
      id: message.id,
      class: row,
      startBy,
      avoid: message.avoid,
      granted: (host) => this.#sendGrant(entry, message.id, host),
      refused: (code) => {
        this.#originByTicket.delete(message.id);
        this.#sendRefusal(entry, message.id, code.code);
      },
    });
  }

  #sendGrant(entry: string, id: string, host: Host): void {
    this.#originByTicket.delete(id);
    const cancelTimer = this.clock.after(
      grantTimeoutMs,
      () => this.#reclaimGrant(id),
    );
    this.#grants.set(id, { entry, host, cancelTimer: cancelTimer });
    const load = this.scheduler.load(host.pool);
    const message = { kind: "granted", id, host: host.name, load } as const;
    if (!this.peers.send(entry, message)) this.#reclaimGrant(id);
  }

  #sendRefusal(entry: string, id: string, code: number): void {
    this.peers.send(entry, { kind: "refused", id, code });
  }

  #withdrawTicket(id: string): void {
    this.#originByTicket.delete(id);
    this.scheduler.cancel(id);
  }

  #reclaimGrant(id: string): void {
    const grant = this.#grants.get(id);
    if (grant === undefined) return;
    this.#grants.delete(id);
    grant.cancelTimer();
    this.local.releaseUnused(grant.host);
  }

  /** Cancels the ticket, the grant or the run that has this id. */
  #handleCancel(entry: string, id: string): void {
    if (this.#originByTicket.get(id) === entry) return this.#withdrawTicket(id);
    if (this.#grants.get(id)?.entry === entry) return this.#reclaimGrant(id);
    const run = this.#runs.get(id);
    if (run?.entry === entry) run.abortController.abort();
  }

  async #handleRun(entry: string, message: RunMessage): Promise<void> {
    const { id } = message;
    const grant = this.#grants.get(id);
    if (grant === undefined || grant.entry !== entry) {
      const { code, meaning } = codes.connectFailed;
      const text = `the grant has expired: ${meaning}`;
      this.peers.send(entry, { kind: "failed", id, code, message: text });
      return;
    }
    this.#grants.delete(id);
    grant.cancelTimer();
    const abortController = new AbortController();
    this.#runs.set(id, { entry, abortController: abortController });
    try {
      const outcome = await this.local.send(
        grant.host,
        message,
        abortController.signal,
      );
      if (outcome.kind === "answer") {
        await this.#sendAnswer(entry, id, outcome);
      } else {
        const { code, message: text } = outcome.failure;
        this.peers.send(entry, {
          kind: "failed",
          id,
          code: code.code,
          message: text,
        });
      }
    } finally {
      this.#runs.delete(id);
    }
  }

  async #sendAnswer(entry: string, id: string, answer: Answer): Promise<void> {
    const { status, headers, body } = answer;
    if (!isStream(body)) {
      this.peers.send(entry, { kind: "answer", id, status, headers, body });
      return;
    }
    this.peers.send(entry, { kind: "answer", id, status, headers });
    let bytes = 0;
    let complete = false;
    try {
      for await (const piece of body) {
        bytes += (piece as Uint8Array).length;
        await this.#sendChunks(entry, id, piece as Uint8Array);
      }
      complete = true;
    } catch {
      complete = false;
    }
    this.peers.send(entry, { kind: "end", id, bytes, complete });
  }

  /** Sends a part of a body, and waits while the origin is slow to read. */
  async #sendChunks(
    entry: string,
    id: string,
    piece: Uint8Array,
  ): Promise<void> {
    for (let offset = 0; offset < piece.length; offset += chunkBytes) {
      const data = piece.subarray(offset, offset + chunkBytes);
      this.peers.send(entry, { kind: "chunk", id, data });
    }
    while (this.peers.backlog(entry) > maxBacklogBytes) {
      await new Promise<void>((r) => this.clock.after(backlogPauseMs, r));
    }
  }
}
