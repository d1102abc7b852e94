/**
 * Frames on a peer link: the body's length in 4 bytes, big-endian, and the
 * body, one CBOR data item.
 */
import { Buffer } from "node:buffer";
import { Encoder } from "cbor-x";
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";
import { type Message, messageSchema } from "./message.ts";

/** Size of the length prefix in bytes. */
const lengthBytes = 4;
/** Largest frame body in bytes. */
export const maxFrameBytes = 2 * 1024 * 1024;

/** Writes standard CBOR: no record extension and no tags on byte strings. */
const encoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Encodes a message as a frame. */
export function encodeFrame(message: Message): Buffer {
  const body = encoder.encode(message);
  const frame = Buffer.allocUnsafe(lengthBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, lengthBytes);
  return frame;
}

/**
 * Decodes the body of a frame. Fails with `frameInvalid` when the body is not
 * CBOR or does not match the message schema.
 */
export function decodeFrame(body: Uint8Array): Result<Message, Failure> {
  let item: unknown;
  try {
    item = encoder.decode(body);
  } catch (err) {
    return fail(codes.frameInvalid, describeError(err));
  }
  const parsed = v.safeParse(messageSchema, item);
  if (parsed.success) return Ok(parsed.output);
  return fail(codes.frameInvalid, parsed.issues[0].message);
}

/** Splits a byte stream into frame bodies. */
export class FrameReader {
  #chunks: Buffer[] = [];
  #size = 0;

  /**
   * Adds received bytes and returns the bodies of the frames that are complete.
   * Fails with `frameInvalid` when a frame exceeds the size limit; the stream
   * cannot be read any further then.
   */
  push(chunk: Buffer): Result<readonly Buffer[], Failure> {
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    const bodies: Buffer[] = [];
    while (this.#size >= lengthBytes) {
      const length = this.#peekLength();
      if (length > maxFrameBytes) {
        return fail(
          codes.frameInvalid,
          `frame of ${length} bytes exceeds the size limit`,
        );
      }
      if (this.#size < lengthBytes + length) break;
      bodies.push(this.#takeBytes(lengthBytes + length).subarray(lengthBytes));
    }
    return Ok(bodies);
  }

  #peekLength(): number {
    if (this.#chunks[0].length < lengthBytes) this.#joinChunks();
    return this.#chunks[0].readUInt32BE(0);
  }

  #takeBytes(count: number): Buffer {
    if (this.#chunks[0].length < count) this.#joinChunks();
    const first = this.#chunks[0];
    const rest = first.subarray(count);
    if (rest.length === 0) this.#chunks.shift();
    else this.#chunks[0] = rest;
    this.#size -= count;
    return first.subarray(0, count);
  }

  #joinChunks(): void {
    this.#chunks = [Buffer.concat(this.#chunks)];
  }
}
