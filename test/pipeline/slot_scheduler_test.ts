/** Tests of the slot scheduler and the retry budget. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../fakes/random.ts";
import type { Host } from "../../src/hosts/index.ts";
import {
  RetryBudget,
  SlotScheduler,
  type Ticket,
} from "../../src/pipeline/index.ts";
import type { ClassRow } from "../../src/table/index.ts";
import { VirtualClock } from "../../sim/virtual_clock.ts";

function classRow(name: string, overrides: Partial<ClassRow> = {}): ClassRow {
  return {
    kind: "class",
    name,
    pool: "p",
    urgency: "patient",
    repeat: "repeatable",
    weight: 1,
    price: 0,
    rate: 0,
    concurrency: 0,
    queue: 10_000,
    deadlineMs: 0,
    runMs: 1_000,
    ...overrides,
  };
}

function makeHost(name: string): Host {
  return {
    name,
    zone: "z",
    rack: "r",
    address: `http://${name}`,
    slots: 2,
    connections: 8,
    pool: "p",
    state: "serving",
    epoch: 1,
  };
}

/** A scheduler on a virtual clock that records the callbacks of its tickets. */
class SchedulerHarness {
  readonly clock = new VirtualClock();
  readonly scheduler = new SlotScheduler(this.clock, seededRandom(1));
  readonly granted: { id: string; host: string; row: ClassRow }[] = [];
  readonly refused: string[] = [];
  #next = 0;

  request(row: ClassRow, startBy?: number): string {
    const id = `t${++this.#next}`;
    const ticket: Ticket = {
      id,
      class: row,
      startBy,
      avoid: [],
      granted: (host) => this.granted.push({ id, host: host.name, row }),
      refused: (code) => this.refused.push(code.name),
    };
    this.scheduler.acquire(ticket);
    return id;
  }

  /**
   * Releases the most recently granted slot `steps` times, and returns the number
   * of the grants that followed by class.
   */
  releaseAndCountGrants(steps: number): Map<string, number> {
    const counts = new Map<string, number>();
    for (let i = 0; i < steps; i++) {
      const { host } = this.granted[this.granted.length - 1];
      this.scheduler.release(host, "success");
      const { name } = this.granted[this.granted.length - 1].row;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
  }
}

describe("scheduler", () => {
  describe("slots", () => {
    it("never grants more slots than the hosts have", () => {
      const harness = new SchedulerHarness();
      harness.scheduler.setHosts([makeHost("h1"), makeHost("h2")]);
      for (let i = 0; i < 9; i++) harness.request(classRow("a"));
      assert.equal(harness.granted.length, 4);
    });

    it("reserves the slots of a gained host until they are released", () => {
      const harness = new SchedulerHarness();
      harness.scheduler.setHosts([makeHost("h1")], ["h1"]);
      harness.request(classRow("a"));
      assert.equal(harness.granted.length, 0);
      harness.scheduler.releaseReserved("h1", 2);
      assert.equal(harness.granted.length, 1);
    });

    it("refuses waiting tickets with no-host when the last host is removed", () => {
      const harness = new SchedulerHarness();
      harness.scheduler.setHosts([makeHost("h1")]);
      for (let i = 0; i < 3; i++) harness.request(classRow("a"));
      harness.scheduler.setHosts([]);
      assert.deepEqual(harness.refused, ["no-host"]);
      assert.equal(harness.scheduler.inFlight("h1"), 2);
    });
  });

  describe("order", () => {
    it("shares slots by weight within 5 percentage points", () => {
      const harness = new SchedulerHarness();
      harness.scheduler.setHosts([makeHost("h1")]);
      const heavy = classRow("heavy", { weight: 3 });
      const light = classRow("light", { weight: 1 });
      for (let i = 0; i < 900; i++) {
        harness.request(heavy);
        harness.request(light);
      }
      const share = (harness.releaseAndCountGrants(400).get("heavy") ?? 0) /
        400;
      assert.ok(Math.abs(share - 0.75) <= 0.05, String(share));
    });

    it("prefers urgent work without starving patient work", () => {
      const harness = new SchedulerHarness();
      harness.scheduler.setHosts([makeHost("h1")]);
      const urgent = classRow("urgent", { urgency: "urgent" });
      const patient = classRow("patient");
      for (let i = 0; i < 300; i++) {
        harness.request(patient);
        harness.request(urgent);
      }
      const counts = harness.releaseAndCountGrants(200);
      const share = (counts.get("patient") ?? 0) / 200;
      assert.ok(share > 0 && share <= 0.1, String(share));
    });
  });

  describe("deadlines", () => {
    it("refuses tickets whose latest start has passed", async () => {
      const harness = new SchedulerHarness();
      harness.scheduler.setHosts([makeHost("h1")]);
      for (let i = 0; i < 3; i++) harness.request(classRow("a"), 100);
      await harness.clock.advance(150);
      harness.scheduler.sweep();
      assert.deepEqual(harness.refused, ["deadline"]);
    });
  });

  describe("health", () => {
    it("sends at most 6 of 400 requests to a host that always fails", () => {
      const harness = new SchedulerHarness();
      harness.scheduler.setHosts([makeHost("bad"), makeHost("good")]);
      let grantsToBad = 0;
      for (let i = 0; i < 400; i++) {
        harness.request(classRow("a"));
        const { host } = harness.granted[harness.granted.length - 1];
        if (host === "bad") grantsToBad++;
        harness.scheduler.release(host, host === "bad" ? "failure" : "success");
      }
      assert.ok(grantsToBad <= 6, `${grantsToBad} of 400`);
      assert.deepEqual(harness.scheduler.suspectHosts().map((h) => h.name), [
        "bad",
      ]);
    });
  });
});

describe("retry budget", () => {
  it("allows retries up to a tenth of the successes", () => {
    let budget = RetryBudget.full;
    let retries = 0;
    while (budget.allows) budget = budget.spend();
    for (let i = 0; i < 1_000; i++) {
      budget = budget.earn();
      if (!budget.allows) continue;
      budget = budget.spend();
      retries++;
    }
    assert.ok(retries <= 100, String(retries));
  });
});
