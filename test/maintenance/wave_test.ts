/** Tests of a running wave whose hosts do not come back healthy. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../fakes/random.ts";
import { WaveFleet } from "./wave_fleet.ts";

const roundMs = 200;
/** Intervals between irregular rounds, in ms. */
const irregularMs = [1, 50, roundMs, 3_000, 9_000];

/** Runs rounds at random intervals, some of which lose answers of commits. */
async function runIrregularRounds(fleet: WaveFleet, seed: number) {
  const random = seededRandom(seed);
  const pick = (count: number) => Math.floor(random() * count);
  for (let i = 0; i < 60; i++) {
    fleet.platform.faults.loseAnswers = pick(3);
    await fleet.runRounds(1, irregularMs[pick(irregularMs.length)]);
  }
  fleet.platform.faults.loseAnswers = 0;
  await fleet.runRounds(4, 9_000);
}

describe("a running wave", () => {
  describe("with two hosts that fail together", () => {
    it("drains no other host when they fail in one round", async () => {
      const fleet = new WaveFleet(6, 2);
      fleet.failSoon({ "h-1": -1, "h-2": -1 });
      await fleet.runRounds(4, roundMs);
      assert.deepEqual(fleet.steps().slice(2), Array(4).fill("waiting"));
      assert.equal(fleet.wave().state, "stopped");
    });

    // Guards against the drain of a third host between the two failures.
    it("drains no other host when they fail in two rounds", async () => {
      const fleet = new WaveFleet(6, 2);
      fleet.failSoon({ "h-1": -1, "h-2": 3 * roundMs });
      await fleet.runRounds(8, roundMs);
      assert.deepEqual(fleet.steps().slice(2), Array(4).fill("waiting"));
      assert.equal(fleet.wave().state, "stopped");
    });

    // Guards against a drain decided before the failures of the same round.
    it("drains no other host into a free place of the same round", async () => {
      const fleet = new WaveFleet(6, 3);
      fleet.failSoon({ "h-1": -1, "h-2": -1 });
      await fleet.runRounds(4, roundMs);
      assert.deepEqual(fleet.steps().slice(2), Array(4).fill("waiting"));
      assert.equal(fleet.wave().state, "stopped");
    });
  });

  describe("all of whose hosts fail", () => {
    // Guards against a wave whose outcome depends on the timing of its rounds.
    it("loses two hosts whenever and however often it is advanced", async () => {
      for (let seed = 1; seed <= 100; seed++) {
        const fleet = new WaveFleet(6, 2);
        for (const { host } of fleet.wave().hosts) {
          fleet.failingReboot.add(host);
        }
        await runIrregularRounds(fleet, seed);
        const expected = ["failed", "failed", ...Array(4).fill("waiting")];
        assert.deepEqual(fleet.steps(), expected, `seed ${seed}`);
        assert.equal(fleet.wave().state, "stopped");
      }
    });
  });

  describe("after one failed host", () => {
    // Guards against a wave that loses a batch of hosts to a known fault.
    it("drains one host at a time until one comes back healthy", async () => {
      const fleet = new WaveFleet(6, 2);
      fleet.failSoon({ "h-1": -1 });
      await fleet.runRounds(2, 0);
      const [first, second, ...others] = fleet.steps();
      assert.deepEqual([first, second], ["failed", "draining"]);
      assert.deepEqual(others, Array(4).fill("waiting"));
    });

    it("uses `parallel` again once a host has come back healthy", async () => {
      const fleet = new WaveFleet(8, 2);
      fleet.failSoon({ "h-1": -1 });
      let largest = 0;
      for (let i = 0; i < 30; i++) {
        await fleet.runRound();
        await fleet.clock.advance(roundMs);
        const inProgress = fleet.steps()
          .filter((s) => s === "draining" || s === "rebooting").length;
        largest = Math.max(largest, inProgress);
      }
      assert.equal(largest, 2);
      assert.deepEqual(fleet.steps(), ["failed", ...Array(7).fill("done")]);
      assert.equal(fleet.wave().state, "done");
    });
  });

  describe("that is resumed after failures", () => {
    // Guards against a wave that tries in vain to drain hosts that it took out.
    it("reboots the failed hosts again and goes on", async () => {
      const fleet = new WaveFleet(4, 2);
      fleet.failSoon({ "h-1": -1, "h-2": -1 });
      await fleet.runRounds(2, roundMs);
      assert.equal(fleet.wave().state, "stopped");
      fleet.failingReboot.clear();
      fleet.command("resume");
      await fleet.runRounds(20, roundMs);
      assert.deepEqual(fleet.steps(), Array(4).fill("done"));
      assert.deepEqual(fleet.platform.rebootedHosts.slice(0, 2), [
        "h-1",
        "h-2",
      ]);
      assert.equal(fleet.wave().state, "done");
    });
  });
});
