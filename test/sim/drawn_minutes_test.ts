/** Days that last many times longer than the rows of a job, with drawn jobs. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ActionRunner } from "../../sim/actions.ts";
import type { BatchSimulation } from "../../sim/batch_simulation.ts";
import { jobKinds, makeJob, plainStep } from "../../sim/jobs.ts";
import { mulberry32 } from "../../sim/random.ts";
import type { JobSpec, StepSpec } from "../../src/batch/index.ts";
import { endSimulation, settledSimulation } from "./settled_simulation.ts";

/** Time between two draws, in ms. */
const drawPeriodMs = 2_000;

/** Share of draws in which a job is submitted. */
const submissionShare = 0.7;

/** Share of draws in which a disturbance begins, if there are any. */
const disturbanceShare = 0.05;

/** Number of entries. */
const entries = 3;

/** Time in which all work ends and all rows are removed, in ms. */
const drainMs = 260_000;

/** Most rows of the inbox at a time: the jobs of some 170 s. */
const maxInboxRows = 120;

/** Draws numbers. */
class Draw {
  readonly #next: () => number;

  constructor(seed: number) {
    this.#next = mulberry32(seed);
  }

  /** Whether an event of this share happens. */
  happens(share: number): boolean {
    return this.#next() < share;
  }

  /** A number from 0, below `count`. */
  below(count: number): number {
    return Math.floor(this.#next() * count);
  }
}

/** A step of small tasks. */
function smallStep(count: number, changes: Partial<StepSpec> = {}): StepSpec {
  const demand = { cpuMillis: 20, memoryMb: 1, gpus: 0 };
  return { ...plainStep(count, []), demand, ...changes };
}

/** Draws a job: most are small, some are large, repeated, or gangs. */
function drawJob(draw: Draw, number: number, now: number): JobSpec {
  const kinds = jobKinds.filter((kind) => kind !== "lasting");
  const pool = draw.happens(0.5) ? "quotes" : "invoices";
  const job = makeJob(number, kinds[draw.below(kinds.length)], pool, now);
  switch (draw.below(30)) {
    case 0:
      return { ...job, steps: [smallStep(120 + draw.below(400))] };
    case 1: {
      const schedule = { firstAtMs: now, periodMs: 1_000, count: 10 };
      return { ...job, steps: [smallStep(30)], schedule };
    }
    case 2:
      return { ...job, steps: [smallStep(3, { gang: true })] };
    default:
      return job;
  }
}

/** Begins a drawn disturbance of some seconds. */
function disturb(draw: Draw, sim: BatchSimulation, runner: ActionRunner): void {
  const entry = draw.below(entries);
  switch (draw.below(6)) {
    case 0:
      runner.perform({
        kind: "store",
        entry: "all",
        behavior: "refuses",
        ms: 4_000,
      });
      break;
    case 1:
      runner.perform({ kind: "lose", share: 0.2, ms: 3_000 });
      break;
    case 2:
      runner.perform({ kind: "slow", factor: 20, ms: 3_000 });
      break;
    case 3:
      runner.perform({ kind: "compact" });
      break;
    case 4:
      sim.crashHost(draw.below(sim.hosts.length), 2_000);
      break;
    case 5:
      runner.perform({ kind: "kill", entry, downMs: 1_000 });
  }
}

/** Rows of the inboxes and of progress. */
function jobRows(sim: BatchSimulation): readonly string[] {
  return ["inbox-quotes", "inbox-invoices", "progress"]
    .flatMap((table) => sim.store.table(table)).map((row) => row.key);
}

/** Plays `minutes` of drawn jobs, checks the rows, and returns violations. */
async function play(
  seed: number,
  minutes: number,
  isDisturbed: boolean,
): Promise<readonly string[]> {
  const sim = await settledSimulation({ seed, entries });
  const runner = new ActionRunner(sim);
  const draw = new Draw(seed);
  let jobCount = 0;
  for (let ms = 0; ms < minutes * 60_000; ms += drawPeriodMs) {
    if (draw.happens(submissionShare)) {
      const job = drawJob(draw, ++jobCount, sim.clock.now());
      sim.submit(job, `entry-${draw.below(entries)}`);
    }
    if (isDisturbed && draw.happens(disturbanceShare)) {
      disturb(draw, sim, runner);
    }
    await sim.advance(drawPeriodMs);
    const inbox = sim.store.table("inbox-quotes").length;
    assert.ok(inbox <= maxInboxRows, `${inbox} rows after ${ms} ms`);
    sim.log.length = 0;
  }
  sim.endDisturbances();
  await sim.advance(drainMs);
  const rows = jobRows(sim);
  endSimulation(sim);
  // Each job that is accepted ends, and its rows are removed.
  assert.deepEqual(rows, []);
  return sim.oracle.violations;
}

describe("a day of many times 150 s", () => {
  // Guards against LOST and against growth: what was kept for each job that had
  // ended, or was repeated for ever, showed only after minutes.
  it("of 15 minutes without disturbances ends all jobs", async () => {
    assert.deepEqual(await play(1, 15, false), []);
  });

  it("of 10 minutes with disturbances ends all jobs", async () => {
    assert.deepEqual(await play(2, 10, true), []);
  });
});
