/** Reads request bodies of limited size, within the budget of the process. */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";
import { BodyMemory } from "./body_memory.ts";
import { type GuardedRequest, guardOf } from "./request.ts";

const emptyBody = new Uint8Array(0);

/** Returns whether the headers of a request announce a body. */
export function hasBody(req: IncomingMessage): boolean {
  const length = req.headers["content-length"];
  return req.headers["transfer-encoding"] !== undefined ||
    (length !== undefined && length !== "0");
}

/** Size of the body that the headers announce, in bytes; 0 if they don't. */
export function announcedBytes(req: IncomingMessage): number {
  return Number(req.headers["content-length"] ?? 0);
}

/**
 * Passes each chunk to `onData` as soon as it is parsed. A stream that starts
 * to flow by itself would first collect all chunks that arrived together.
 */
function flow(req: IncomingMessage, onData: (chunk: Buffer) => void): void {
  req.on("data", onData);
  req.read(0);
}

/** Reads what is left of a body and keeps nothing of it. */
export function discardBody(req: IncomingMessage): void {
  const guard = guardOf(req);
  flow(req, () => guard?.noteDiscarded());
}

function tooLarge(maxBytes: number): Result<never, Failure> {
  return fail(
    codes.bodyTooLarge,
    `the request body exceeds ${maxBytes} bytes`,
  );
}

/** Result of a request for which the process has no room. */
function overloaded(): Result<never, Failure> {
  return fail(codes.overloaded, codes.overloaded.meaning);
}

/** Reads a body once, up to its end or the first limit that it meets. */
class BodyReader {
  #memory = new BodyMemory();
  #resolve: (body: Result<Uint8Array, Failure>) => void = () => {};

  constructor(
    private readonly req: IncomingMessage,
    private readonly maxBytes: number,
    private readonly guard: GuardedRequest | undefined,
  ) {}

  /** Starts to read. */
  read(): Promise<Result<Uint8Array, Failure>> {
    const { req } = this;
    return new Promise((resolve) => {
      this.#resolve = resolve;
      req.on("end", this.#onEnd);
      req.on("error", this.#onDisconnect);
      req.on("close", this.#onDisconnect);
      flow(req, this.#onData);
    });
  }

  /** Stops to read, as the budget needs the memory. */
  readonly drop = (): void => this.#stop(overloaded());

  readonly #onData = (chunk: Buffer): void => {
    this.guard?.noteProgress();
    const size = this.#memory.length + chunk.length;
    if (size > this.maxBytes) return this.#stop(tooLarge(this.maxBytes));
    const missing = this.#memory.missingCapacity(chunk.length);
    if (missing > 0 && this.guard?.hold(missing) === false) {
      return this.#stop(overloaded());
    }
    this.#memory.append(chunk);
  };

  readonly #onEnd = (): void => this.#finish(Ok(this.#memory.toBytes()));

  readonly #onDisconnect = (): void =>
    this.#finish(
      fail(
        codes.cancelled,
        "the caller disconnected before the end of the body",
      ),
    );

  /** Finishes before the end of the body, and keeps nothing of it. */
  #stop(failure: Result<never, Failure>): void {
    this.guard?.release(this.#memory.capacity);
    this.#finish(failure);
    discardBody(this.req);
  }

  #finish(body: Result<Uint8Array, Failure>): void {
    const { req } = this;
    req.off("data", this.#onData);
    req.off("end", this.#onEnd);
    req.off("error", this.#onDisconnect);
    req.off("close", this.#onDisconnect);
    this.#memory = new BodyMemory();
    this.#resolve(body);
  }
}

/**
 * Reads the whole body of a request. A handler has to call it before it waits
 * for anything, as bodies that nobody reads are discarded. Fails with
 * `bodyTooLarge` if it exceeds `maxBytes`, before it is read if the headers say
 * so; with `overloaded` if the process has no room for it; or with `cancelled`
 * if the caller disconnects before the end of the body.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Uint8Array, Failure>> {
  if (!hasBody(req)) return Promise.resolve(Ok(emptyBody));
  if (announcedBytes(req) > maxBytes) {
    return Promise.resolve(tooLarge(maxBytes));
  }
  const guard = guardOf(req);
  const reader = new BodyReader(req, maxBytes, guard);
  if (guard === undefined) return reader.read();
  return guard.whileReading((onDrop) => {
    onDrop(reader.drop);
    return reader.read();
  });
}
