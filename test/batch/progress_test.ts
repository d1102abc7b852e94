/** Tests a job's progress: its transitions and its stored encoding. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  cancelJob,
  decodeProgress,
  encodeProgress,
  initialProgress,
  type JobProgress,
  type JobSpec,
  nextRunNumber,
  openOccurrence,
  placeTask,
  recordRunEnd,
  type RunEnd,
  startableTasks,
  taskAt,
} from "../../src/batch/index.ts";
import { makeJob, plainStep } from "../../sim/jobs.ts";

const chain = makeJob(1, "chain", "quotes", 0);
const firstTask = { occurrence: 0, step: 0, index: 0 };

function openFirst(spec: JobSpec): JobProgress {
  return openOccurrence(initialProgress, spec);
}

function place(p: JobProgress, spec: JobSpec, ref = firstTask): JobProgress {
  const run = nextRunNumber(p, spec, ref);
  return placeTask(p, ref, { run, endpoint: "e", life: 1 });
}

describe("progress", () => {
  describe("of a chain of steps", () => {
    it("starts only steps whose dependencies are done", () => {
      const refs = startableTasks(openFirst(chain), chain);
      assert.deepEqual(refs.map((r) => r.step), [0, 0]);
    });

    it("completes when every task is done", () => {
      let p = openFirst(chain);
      for (let round = 0; round < 10; round++) {
        for (const ref of startableTasks(p, chain)) {
          p = recordRunEnd(place(p, chain, ref), chain, ref, 1, "done");
        }
      }
      assert.equal(p.phase, "completed");
      assert.equal(p.open.size, 0);
    });
  });

  describe("of a task that fails", () => {
    it("counts a failure once if its end is reported twice", () => {
      const p = place(openFirst(chain), chain);
      const once = recordRunEnd(p, chain, firstTask, 1, "failed");
      const twice = recordRunEnd(once, chain, firstTask, 1, "failed");
      assert.equal(taskAt(twice, firstTask)?.failures, 1);
    });

    it("counts no failure if a run stopped, lapsed or was lost", () => {
      for (const end of ["stopped", "lapsed", "lost", "not-started"] as const) {
        const p = recordRunEnd(
          place(openFirst(chain), chain),
          chain,
          firstTask,
          1,
          end,
        );
        assert.equal(taskAt(p, firstTask)?.failures, 0);
        assert.equal(nextRunNumber(p, chain, firstTask), 2);
      }
    });

    it("fails the job at the maximum number of attempts", () => {
      let p = openFirst(chain);
      for (let run = 1; run <= chain.maxAttempts; run++) {
        p = recordRunEnd(place(p, chain), chain, firstTask, run, "failed");
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

    it("completes all members when one reports done", () => {
      let p = openFirst(gang);
      for (const ref of startableTasks(p, gang)) {
        p = placeTask(p, ref, { run: 1, endpoint: "e", life: 1 });
      }
      assert.equal(
        recordRunEnd(p, gang, firstTask, 1, "done").phase,
        "completed",
      );
    });

    it("gives the next run a number above those of all members", () => {
      const other = { ...firstTask, index: 2 };
      const p = recordRunEnd(
        place(openFirst(gang), gang),
        gang,
        firstTask,
        1,
        "alone",
      );
      assert.equal(nextRunNumber(p, gang, other), 2);
    });
  });

  describe("of a long-running task", () => {
    const longRunning = makeJob(2, "lasting", "quotes", 0);

    it("waits for placement again after any end", () => {
      for (const end of ["done", "failed", "broken", "lapsed"] as const) {
        let p = openFirst(longRunning);
        for (let run = 1; run <= 5; run++) {
          p = recordRunEnd(
            place(p, longRunning),
            longRunning,
            firstTask,
            run,
            end,
          );
        }
        assert.equal(startableTasks(p, longRunning).length, 3);
      }
    });
  });

  describe("of a cancelled job", () => {
    it("stays cancelled when a run ends afterwards", () => {
      const p = cancelJob(place(openFirst(chain), chain));
      assert.equal(
        recordRunEnd(p, chain, firstTask, 1, "done").phase,
        "cancelled",
      );
      assert.deepEqual(startableTasks(p, chain), []);
    });
  });

  describe("in the store", () => {
    const end = fc.constantFrom<RunEnd>("done", "failed", "lost", "stopped");

    it("decodes to the value that was encoded", () => {
      fc.assert(
        fc.property(fc.array(fc.tuple(fc.nat(9), end)), (steps) => {
          let p = openFirst(chain);
          for (const [pick, runEnd] of steps) {
            const refs = startableTasks(p, chain);
            if (refs.length === 0) break;
            const ref = refs[pick % refs.length];
            const run = nextRunNumber(p, chain, ref);
            p = place(p, chain, ref);
            if (pick < 7) p = recordRunEnd(p, chain, ref, run, runEnd, "c");
          }
          assert.deepEqual(decodeProgress(encodeProgress(p), chain), p);
        }),
        { seed: 1 },
      );
    });

    it("rejects invalid rows", () => {
      assert.equal(decodeProgress("{", chain), undefined);
      assert.equal(decodeProgress('{"phase":"odd"}', chain), undefined);
    });
  });
});
