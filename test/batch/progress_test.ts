/** Progress of a job: transitions, and the stored form. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  cancelJob,
  decodeProgress,
  encodeProgress,
  endRun,
  freshProgress,
  type JobSpec,
  nextRun,
  openOccurrence,
  placeTask,
  type Progress,
  type RunEnd,
  startableTasks,
  taskAt,
} from "../../src/batch/index.ts";
import { jobOf, plainStep } from "../../sim/jobs.ts";

const chain = jobOf(1, "chain", "quotes", 0);
const first = { occurrence: 0, step: 0, index: 0 };

function begin(spec: JobSpec): Progress {
  return openOccurrence(freshProgress, spec);
}

function place(p: Progress, spec: JobSpec, ref = first): Progress {
  const run = nextRun(p, spec, ref);
  return placeTask(p, ref, { run, endpoint: "e", life: 1 });
}

describe("progress", () => {
  describe("of a chain of steps", () => {
    it("offers only steps whose predecessors are done", () => {
      const refs = startableTasks(begin(chain), chain);
      assert.deepEqual(refs.map((r) => r.step), [0, 0]);
    });

    it("completes when every task is done", () => {
      let p = begin(chain);
      for (let guard = 0; guard < 10; guard++) {
        for (const ref of startableTasks(p, chain)) {
          p = endRun(place(p, chain, ref), chain, ref, 1, "done");
        }
      }
      assert.equal(p.phase, "completed");
      assert.equal(p.open.size, 0);
    });
  });

  describe("of a task that fails", () => {
    it("counts a failure once although its end is listed twice", () => {
      const p = place(begin(chain), chain);
      const once = endRun(p, chain, first, 1, "failed");
      const twice = endRun(once, chain, first, 1, "failed");
      assert.equal(taskAt(twice, first)?.failures, 1);
    });

    it("does not count runs that were stopped, lapsed or lost", () => {
      for (const end of ["stopped", "lapsed", "lost", "not-started"] as const) {
        const p = endRun(place(begin(chain), chain), chain, first, 1, end);
        assert.equal(taskAt(p, first)?.failures, 0);
        assert.equal(nextRun(p, chain, first), 2);
      }
    });

    it("fails the job at the limit of attempts", () => {
      let p = begin(chain);
      for (let run = 1; run <= chain.maxAttempts; run++) {
        p = endRun(place(p, chain), chain, first, run, "failed");
      }
      assert.equal(p.phase, "failed");
      assert.deepEqual(startableTasks(p, chain), []);
    });
  });

  describe("of a gang", () => {
    const gang: JobSpec = {
      ...chain,
      steps: [{ ...plainStep(3, []), gang: true }],
    };

    it("takes one done end for all members", () => {
      let p = begin(gang);
      for (const ref of startableTasks(p, gang)) {
        p = placeTask(p, ref, { run: 1, endpoint: "e", life: 1 });
      }
      assert.equal(endRun(p, gang, first, 1, "done").phase, "completed");
    });

    it("numbers the next run above that of every member", () => {
      const other = { ...first, index: 2 };
      const p = endRun(place(begin(gang), gang), gang, first, 1, "alone");
      assert.equal(nextRun(p, gang, other), 2);
    });
  });

  describe("of a long-running task", () => {
    const lasting = jobOf(2, "lasting", "quotes", 0);

    it("waits for a place again however it ended", () => {
      for (const end of ["done", "failed", "broken", "lapsed"] as const) {
        let p = begin(lasting);
        for (let run = 1; run <= 5; run++) {
          p = endRun(place(p, lasting), lasting, first, run, end);
        }
        assert.equal(startableTasks(p, lasting).length, 3);
      }
    });
  });

  describe("of a cancelled job", () => {
    it("stays cancelled whatever ends afterwards", () => {
      const p = cancelJob(place(begin(chain), chain));
      assert.equal(endRun(p, chain, first, 1, "done").phase, "cancelled");
      assert.deepEqual(startableTasks(p, chain), []);
    });
  });

  describe("in the store", () => {
    const end = fc.constantFrom<RunEnd>("done", "failed", "lost", "stopped");

    it("comes back as it was written", () => {
      fc.assert(
        fc.property(fc.array(fc.tuple(fc.nat(9), end)), (steps) => {
          let p = begin(chain);
          for (const [pick, how] of steps) {
            const refs = startableTasks(p, chain);
            if (refs.length === 0) break;
            const ref = refs[pick % refs.length];
            const run = nextRun(p, chain, ref);
            p = place(p, chain, ref);
            if (pick < 7) p = endRun(p, chain, ref, run, how, "c");
          }
          assert.deepEqual(decodeProgress(encodeProgress(p), chain), p);
        }),
        { seed: 1 },
      );
    });

    it("is not read from another writer's bytes", () => {
      assert.equal(decodeProgress("{", chain), undefined);
      assert.equal(decodeProgress('{"phase":"odd"}', chain), undefined);
    });
  });
});
