/** Tests of the encoding and decoding of peer frames. */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  decodeFrame,
  encodeFrame,
  FrameReader,
  maxFrameBytes,
  type Message,
} from "../../src/peers/index.ts";

const message: Message = {
  kind: "run",
  id: "i-1",
  attempt: "a-1",
  method: "POST",
  path: "/x",
  headers: { a: "b" },
  body: new Uint8Array([1, 2, 3]),
  runMs: 100,
};

describe("peer frames", () => {
  describe("received in chunks of any size", () => {
    it("are decoded completely and in order", () => {
      const frames = Buffer.concat([message, message].map(encodeFrame));
      const cuts = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 });
      fc.assert(
        fc.property(cuts, (sizes) => {
          const reader = new FrameReader();
          const decoded: Message[] = [];
          for (let offset = 0, i = 0; offset < frames.length; i++) {
            const size = sizes[i % sizes.length];
            const bodies = reader.push(frames.subarray(offset, offset + size));
            for (const body of bodies.unwrap()) {
              decoded.push(decodeFrame(body).unwrap());
            }
            offset += size;
          }
          assert.equal(decoded.length, 2);
          assert.deepEqual(
            decoded.map((m) => m.kind === "run" && [...m.body]),
            [[1, 2, 3], [1, 2, 3]],
          );
        }),
        { seed: 1 },
      );
    });
  });

  describe("of arbitrary bytes", () => {
    it("are rejected with frame-invalid, without an exception", () => {
      fc.assert(
        fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
          const decoded = decodeFrame(bytes);
          return decoded.err && decoded.val.code.name === "frame-invalid";
        }),
        { seed: 1, numRuns: 500 },
      );
    });

    it("are rejected when the length prefix exceeds the limit", () => {
      const head = Buffer.alloc(4);
      head.writeUInt32BE(maxFrameBytes + 1);
      assert.ok(new FrameReader().push(head).err);
    });
  });
});
