/**
 * A link: one TCP connection to another entry, which carries framed messages.
 *
 * The mesh sends heartbeats on each link. It closes a link on which nothing has
 * arrived for the silence timeout; the entry that dialled it opens a new one.
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { Failure } from "../errors/index.ts";
import type { Clock } from "../clock/index.ts";
import { decodeFrame, encodeFrame, FrameReader } from "./frame.ts";
import type { Hello, Message } from "./message.ts";

/** Events that a link reports to the mesh. */
export interface LinkEvents {
  /** Called when the peer's hello arrives, before any other message. */
  onHello(link: Link, hello: Hello): void;
  /** Called when a message other than a hello arrives. */
  onMessage(link: Link, message: Message): void;
  /** Called once, also if the connection was never established. */
  onClosed(link: Link, reason: string): void;
  /** Called when an invalid frame arrives; the link closes afterwards. */
  onBadFrame(link: Link, err: Failure): void;
}

/** Counters of the frames and bytes on all links of a process. */
export interface LinkTraffic {
  framesOut: number;
  bytesOut: number;
  framesIn: number;
  bytesIn: number;
}

/** A connection to one peer whose messages are framed and checked by schema. */
export class Link {
  #reader = new FrameReader();
  #hello: Hello | undefined;
  #lastReceived: number;
  #closed = false;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
    private readonly events: LinkEvents,
    private readonly traffic: LinkTraffic,
  ) {
    this.#lastReceived = clock.now();
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("error", (err) => this.close(err.message));
    socket.on("close", () => this.close("closed by peer"));
  }

  /** The peer's hello; undefined until it has arrived. */
  get peer(): Hello | undefined {
    return this.#hello;
  }

  /** Whether the link has been closed, by either side. */
  get isClosed(): boolean {
    return this.#closed;
  }

  /** Bytes that are buffered because the peer has not read them yet. */
  get backlog(): number {
    return this.socket.writableLength;
  }

  /** Sends a message; drops it when the link is closed. */
  send(message: Message): void {
    if (this.#closed) return;
    const frame = encodeFrame(message);
    this.traffic.framesOut++;
    this.traffic.bytesOut += frame.length;
    this.socket.write(frame);
  }

  /** Time in ms since data last arrived. */
  idleMs(): number {
    return this.clock.now() - this.#lastReceived;
  }

  /** Closes the link and reports `reason` to the mesh. */
  close(reason: string): void {
    if (this.#closed) return;
    this.#closed = true;
    this.socket.destroy();
    this.events.onClosed(this, reason);
  }

  #receive(chunk: Buffer): void {
    this.#lastReceived = this.clock.now();
    this.traffic.bytesIn += chunk.length;
    const bodies = this.#reader.push(chunk);
    if (bodies.err) return this.#rejectFrame(bodies.val);
    for (const body of bodies.val) {
      if (this.#closed) return;
      const message = decodeFrame(body);
      if (message.err) return this.#rejectFrame(message.val);
      this.traffic.framesIn++;
      this.#handle(message.val);
    }
  }

  #handle(message: Message): void {
    // Messages before the hello come from an unknown peer and are ignored.
    if (message.kind === "hello") {
      this.#hello = message;
      this.events.onHello(this, message);
    } else if (this.#hello !== undefined) {
      this.events.onMessage(this, message);
    }
  }

  #rejectFrame(err: Failure): void {
    this.events.onBadFrame(this, err);
    this.close(err.message);
  }
}
