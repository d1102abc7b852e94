/** Tests a job's progress: its transitions and its stored encoding. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  acknowledgeRun,
  cancelJob,
  changedRowKeys,
  decodeProgress,
  encodeProgressRow,
  initialProgress,
  type JobProgress,
  type JobSpec,
  nextRunNumber,
  openOccurrences,
  placeTask,
  recordRunEnd,
  type RunEnd,
  startableTasks,
  startCheckpoint,
  taskAt,
} from "../../src/batch/index.ts";
import { makeJob, plainStep } from "../../sim/jobs.ts";
import { maxRowBytes } from "../../src/store/index.ts";

const chain = makeJob(1, "chain", "quotes", 0);
const firstTask = { occurrence: 0, step: 0, index: 0 };

function openFirst(spec: JobSpec): JobProgress {
  return openOccurrences(initialProgress, spec, 1);
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

  describe("of a gang with checkpoints", () => {
    const gang: JobSpec = {
      ...chain,
      steps: [{ ...plainStep(4, []), gang: true, checkpoints: true }],
    };

    /** Progress after a run in which each member has saved a checkpoint. */
    function endedWith(checkpoints: readonly string[]): JobProgress {
      let p = openFirst(gang);
      for (const ref of startableTasks(p, gang)) {
        p = placeTask(p, ref, { run: 1, endpoint: "e", life: 1 });
      }
      for (const [index, checkpoint] of checkpoints.entries()) {
        const ref = { ...firstTask, index };
        p = recordRunEnd(p, gang, ref, 1, "broken", checkpoint);
      }
      return p;
    }

    /** Checkpoints that the members of the next run start with. */
    function startedWith(p: JobProgress): readonly string[] {
      const refs = startableTasks(p, gang);
      return refs.map((ref) => startCheckpoint(p, gang, ref));
    }

    // Guards against GANG: members that were lost at different times carried
    // different checkpoints, and the gang never worked again.
    it("starts all members with the checkpoint that most of them have", () => {
      const p = endedWith(["old", "new", "", "new"]);
      assert.deepEqual(startedWith(p), Array(4).fill("new"));
    });

    it("starts all members with one of several checkpoints", () => {
      const p = endedWith(["", "a", "b", ""]);
      assert.deepEqual(startedWith(p), Array(4).fill("a"));
    });

    it("keeps the choice while the members are placed", () => {
      let p = endedWith(["old", "new", "", "new"]);
      for (const ref of startableTasks(p, gang)) {
        assert.equal(startCheckpoint(p, gang, ref), "new");
        p = placeTask(p, ref, { run: 2, endpoint: "e", life: 1 });
      }
    });

    it("starts tasks that are no gang with their own checkpoints", () => {
      const single = { ...gang, steps: [{ ...gang.steps[0], gang: false }] };
      const p = endedWith(["old", "new", "", "new"]);
      const started = [0, 1, 2, 3]
        .map((index) => startCheckpoint(p, single, { ...firstTask, index }));
      assert.deepEqual(started, ["old", "new", "", "new"]);
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

  describe("of a task whose start is acknowledged", () => {
    const placed = place(openFirst(chain), chain);

    it("says so until the run ends", () => {
      const acknowledged = acknowledgeRun(placed, firstTask, {
        run: 1,
        life: 1,
      });
      const { placement } = taskAt(acknowledged, firstTask) ?? {};
      assert.equal(placement?.isAcknowledged, true);
      const ended = recordRunEnd(acknowledged, chain, firstTask, 1, "lost");
      const again = taskAt(place(ended, chain), firstTask)?.placement;
      assert.equal(again?.isAcknowledged, undefined);
    });

    it("says nothing of another run", () => {
      const other = { run: 2, life: 1 };
      assert.equal(acknowledgeRun(placed, firstTask, other), placed);
    });

    // Guards against TWICE: a run that a later incarnation had carried out counted
    // as acknowledged by the one that its start was meant for.
    it("names the incarnation that has acknowledged it", () => {
      const later = { run: 1, life: 2 };
      const acknowledged = acknowledgeRun(placed, firstTask, later);
      const { placement } = taskAt(acknowledged, firstTask) ?? {};
      assert.equal(placement?.life, 2);
      assert.equal(placement?.isAcknowledged, true);
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
            else p = acknowledgeRun(p, ref, { run, life: 1 });
          }
          const head = encodeProgressRow(chain, p, chain.id);
          assert.deepEqual(decodeProgress({ head, parts: [] }, chain), p);
        }),
        { seed: 1 },
      );
    });

    describe("of a job with more tasks than one row holds", () => {
      const longRun = Number.MAX_SAFE_INTEGER;
      const wide: JobSpec = {
        ...chain,
        steps: [plainStep(130, []), { ...plainStep(3, [0]), gang: true }],
        schedule: { firstAtMs: 0, periodMs: 1, count: 3 },
      };
      const start = openOccurrences(openFirst(wide), wide, 1);

      /** Applies changes and returns the rows after each of them. */
      function play(picks: readonly (readonly [number, RunEnd])[]) {
        const rows = new Map<string, string>();
        const states: { p: JobProgress; changed: readonly string[] }[] = [];
        let p = start;
        for (const [pick, runEnd] of picks) {
          const before = p;
          const refs = startableTasks(p, wide);
          if (refs.length === 0) break;
          const ref = refs[pick % refs.length];
          const run = nextRunNumber(p, wide, ref);
          p = place(p, wide, ref);
          if (pick % 4 > 0) p = recordRunEnd(p, wide, ref, run, runEnd, "c");
          states.push({ p, changed: changedRowKeys(wide, before, p) });
        }
        return { rows, states };
      }

      function decode(rows: ReadonlyMap<string, string>) {
        const parts = [...rows].map(([key, value]) => ({ key, value }))
          .filter(({ key }) => key !== wide.id);
        return decodeProgress({ head: rows.get(wide.id), parts }, wide);
      }

      function store(rows: Map<string, string>, p: JobProgress, key: string) {
        const value = encodeProgressRow(wide, p, key);
        if (value !== undefined) rows.set(key, value);
      }

      const picks = fc.array(fc.tuple(fc.nat(500), end), { maxLength: 60 });

      it("decodes to the value whose changed rows were written", () => {
        fc.assert(
          fc.property(picks, (drawn) => {
            const { rows, states } = play(drawn);
            for (const { p, changed } of states) {
              for (const key of changed) store(rows, p, key);
            }
            const last = states.at(-1)?.p;
            if (last !== undefined) assert.deepEqual(decode(rows), last);
          }),
          { seed: 1 },
        );
      });

      // Guards against TWICE: a crash between two transactions leaves some rows
      // of a job older than others.
      it("keeps what each row tells, whichever of them were written", () => {
        fc.assert(
          fc.property(picks, fc.infiniteStream(fc.boolean()), (drawn, coin) => {
            const { rows, states } = play(drawn);
            const stored = new Map<string, JobProgress>();
            for (const { p, changed } of states) {
              for (const key of changed) {
                if (!coin.next().value) continue;
                store(rows, p, key);
                stored.set(key, p);
              }
            }
            const decoded = decode(rows);
            for (const [key, p] of stored) {
              const written = encodeProgressRow(wide, p, key);
              assert.ok(decoded !== undefined);
              if (key === wide.id) continue;
              assert.equal(encodeProgressRow(wide, decoded, key), written);
            }
          }),
          { seed: 2 },
        );
      });

      it("fits into rows with the longest ids and checkpoints", () => {
        let p = start;
        for (let index = 0; index < 130; index++) {
          const ref = { ...firstTask, index };
          const endpoint = "e".repeat(200);
          p = placeTask(p, ref, { run: longRun, endpoint, life: longRun });
          const checkpoint = "c".repeat(254);
          p = recordRunEnd(p, wide, ref, longRun, "stopped", checkpoint);
          p = placeTask(p, ref, { run: longRun, endpoint, life: longRun });
          p = acknowledgeRun(p, ref, { run: longRun, life: longRun });
        }
        for (const key of changedRowKeys(wide, start, p)) {
          const bytes = encodeProgressRow(wide, p, key)?.length ?? 0;
          assert.ok(bytes <= maxRowBytes, `${key}: ${bytes} bytes`);
        }
      });

      it("is read from the one row of an older release", () => {
        const p = place(start, wide);
        const tasks = [[0, 0, 0, 0, 1, 0, "", [1, "e", 1]]];
        const head = { phase: "queued", next: 2, completed: 0, open: [0, 1] };
        const value = JSON.stringify({ ...head, tasks });
        assert.deepEqual(decodeProgress({ head: value, parts: [] }, wide), p);
      });
    });

    it("rejects invalid rows", () => {
      for (const head of ["{", '{"phase":"odd"}']) {
        assert.equal(decodeProgress({ head, parts: [] }, chain), undefined);
      }
    });
  });
});
