/** The decision log's rate limit: bursts, slow readers, changes at run time. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import { DecisionWriter } from "../../src/telemetry/index.ts";

function setUp(linesPerS: number) {
  const clock = new VirtualClock();
  const output = {
    writableLength: 0,
    text: "",
    write(text: string) {
      output.text += text;
    },
  };
  const options = { entry: "e", zone: "z", level: "info", linesPerS } as const;
  const writer = new DecisionWriter(options, clock, output);
  const countLines = (event: string) => {
    writer.flush();
    return output.text.split("\n").filter((l) => l.includes(`"${event}"`))
      .length;
  };
  return { clock, output, writer, countLines };
}

describe("the decision log", () => {
  describe("in a burst of task events", () => {
    it("keeps part of the limit for changes of shard owners", () => {
      const { writer, countLines } = setUp(100);
      for (let i = 0; i < 1_000; i++) writer.decision("task-placed", {});
      writer.decision("shard-taken", { shard: "s" });
      assert.equal(countLines("task-placed"), 80);
      assert.equal(countLines("shard-taken"), 1);
    });

    it("counts the lines that it drops", async () => {
      const { clock, writer, output, countLines } = setUp(100);
      for (let i = 0; i < 300; i++) writer.decision("task-ended", {});
      await clock.advance(1_000);
      writer.decision("started", {});
      assert.equal(countLines("lines-dropped"), 1);
      assert.ok(output.text.includes('"dropped":220'), output.text);
    });
  });

  describe("when its reader is slow", () => {
    it("drops and counts the buffered lines", async () => {
      const { clock, writer, output, countLines } = setUp(100);
      output.writableLength = 2_000_000;
      for (let i = 0; i < 10; i++) writer.decision("shard-taken", {});
      writer.flush();
      output.writableLength = 0;
      await clock.advance(1_000);
      writer.decision("started", {});
      assert.equal(countLines("shard-taken"), 0);
      assert.ok(output.text.includes('"dropped":10'), output.text);
    });
  });

  it("changes its limit at run time", () => {
    const { writer, countLines } = setUp(10);
    writer.configure({ level: "info", linesPerS: 50 });
    for (let i = 0; i < 100; i++) writer.decision("task-placed", {});
    assert.equal(countLines("task-placed"), 40);
  });
});
