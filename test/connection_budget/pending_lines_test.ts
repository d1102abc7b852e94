/** The estimated memory of header lines that are not complete. */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { beforeEach, describe, it } from "node:test";
import { PendingLines } from "../../src/connection_budget/pending_lines.ts";

/** Memory of a line besides its characters: a name and a value, in bytes. */
const lineOverhead = 128;

/** Most lines that the parser keeps. */
const maxLines = 256;

describe("header lines that are not complete", () => {
  let lines: PendingLines;

  beforeEach(() => lines = new PendingLines());

  it("take their bytes, and more for each line", () => {
    lines.add(Buffer.from("a:\r\nb:\r\nc"));
    assert.equal(lines.size, 9 + 2 * lineOverhead);
  });

  it("add up over the slices in which they come", () => {
    lines.add(Buffer.from("a:"));
    lines.add(Buffer.from("\r"));
    lines.add(Buffer.from("\n"));
    assert.equal(lines.size, 4 + lineOverhead);
  });

  it("take no more overhead than for those that are kept", () => {
    const count = 10 * maxLines;
    lines.add(Buffer.from("a:\r\n".repeat(count)));
    assert.equal(lines.size, 4 * count + maxLines * lineOverhead);
  });

  it("take nothing once they are complete", () => {
    lines.add(Buffer.from("a:\r\n"));
    lines.clear();
    assert.equal(lines.size, 0);
  });
});
