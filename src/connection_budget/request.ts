/** One request of a guarded connection: its charge, and how its body is read. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Result } from "ts-results";
import type { Failure } from "../errors/index.ts";
import type { GuardedConnection } from "./connection.ts";
import { headerOverheadBytes } from "./limits.ts";

/** Memory of a request without its headers and its body, in bytes. */
const requestBytes = 4_096;

/**
 * - `handled`: it is being handled, and must not be broken off.
 * - `reading`: its body is being read, and nothing was done for it.
 * - `answered`: its response is on its way to the client.
 */
export type RequestState = "handled" | "reading" | "answered";

/** Estimates the memory that the headers of a request take, in bytes. */
function headersSize({ rawHeaders, url }: IncomingMessage): number {
  const characters = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const overhead = rawHeaders.length * headerOverheadBytes;
  return (url?.length ?? 0) + characters + overhead;
}

/** A request, from its headers until its response is sent or broken off. */
export class GuardedRequest {
  #heldBytes = 0;
  #isReading = false;
  #isDropped = false;
  #isAnswered = false;
  #onDrop: () => void = () => {};

  constructor(
    private readonly connection: GuardedConnection,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    connection.requests.add(this);
    connection.noteParsed();
    connection.noteProgress();
    res.once("close", () => this.#end());
  }

  get state(): RequestState {
    if (this.#isAnswered || this.res.writableEnded) return "answered";
    return this.#isReading ? "reading" : "handled";
  }

  /** Whether the body is being read. */
  get isReading(): boolean {
    return this.#isReading;
  }

  /** Whether the budget has dropped the body of this request. */
  get isDropped(): boolean {
    return this.#isDropped;
  }

  /** Charges the request itself; false if it has to be refused. */
  admit(): boolean {
    return this.hold(requestBytes + headersSize(this.req));
  }

  /** Charges bytes until the request ends; false if there is no room. */
  hold(bytes: number): boolean {
    if (!this.connection.charge(bytes)) return false;
    this.#heldBytes += bytes;
    return true;
  }

  /**
   * Notes that a whole response of this size is handed over to the connection;
   * it is charged until the client has read it.
   */
  noteResponse(bytes: number): void {
    this.#isAnswered = true;
    this.connection.chargeResponse(bytes);
    this.#heldBytes += bytes;
  }

  /** Takes back a part of the charge. */
  release(bytes: number): void {
    this.#heldBytes -= bytes;
    this.connection.release(bytes);
  }

  /**
   * Reads the body by `read`, which is given a signal to stop when the body is
   * dropped. Until it resolves the request may be refused at any time.
   */
  async whileReading(
    read: (onDrop: (drop: () => void) => void) => Promise<
      Result<Uint8Array, Failure>
    >,
  ): Promise<Result<Uint8Array, Failure>> {
    this.#isReading = true;
    const body = await read((drop) => this.#onDrop = drop);
    this.#onDrop = () => {};
    this.#isReading = false;
    return body;
  }

  /** Notes that a part of the body has arrived. */
  noteProgress(): void {
    this.connection.noteParsed();
    this.connection.noteProgress();
  }

  /** Notes that a part of the body has arrived which nobody reads. */
  noteDiscarded(): void {
    this.connection.noteParsed();
  }

  /** Stops to read the body, which is then refused. */
  dropBody(): void {
    this.#isReading = false;
    this.#isDropped = true;
    this.#onDrop();
  }

  #end(): void {
    this.connection.requests.delete(this);
    this.connection.noteProgress();
    this.release(this.#heldBytes);
  }
}

const guardedRequests = new WeakMap<IncomingMessage, GuardedRequest>();

/** Starts to guard a request. */
export function guardRequest(
  connection: GuardedConnection,
  req: IncomingMessage,
  res: ServerResponse,
): GuardedRequest {
  const request = new GuardedRequest(connection, req, res);
  guardedRequests.set(req, request);
  return request;
}

/** The guard of a request; undefined if its server is not guarded. */
export function guardOf(req: IncomingMessage): GuardedRequest | undefined {
  return guardedRequests.get(req);
}
