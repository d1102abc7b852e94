/**
 * Steps of a simulation: requests of callers, operations of operators, and
 * faults.
 */
import fc from "fast-check";
import {
  drainOrMoveHost,
  editWeight,
  returnHost,
  startWave,
} from "./operator_steps.ts";
import {
  type EntrySimulation,
  entryZones,
  hostNames,
  onceClass,
  pools,
} from "./entry_simulation.ts";

const entry = fc.constantFrom(...entryZones.map((_, i) => `e${i + 1}`));
const host = fc.constantFrom(...hostNames);
const pool = fc.constantFrom(...pools);
const runMs = fc.constantFrom(5, 40, 200, 900, 2_500);
const className = fc.constantFrom("urgent1", "urgent2", "batch");
const literal = <K extends string>(name: K) => fc.constant(name);

/** Run time in ms of a request of the at-most-once class, by key. */
const onceRunMs = [5, 40, 400, 1_000, 2_500];

/**
 * Generates one step; `fast-check` chooses its values and shrinks them.
 *
 * `rent` sends a request of the at-most-once class with the same key to the
 * entries `entry` and `again`. `drain` drains the hosts `host` and `rival` at
 * the same time. In `wave`, `spoil` makes the hosts unhealthy after their
 * reboot. In `kill`, `gone` also lists the entry as gone. In `leave`, the host
 * is listed as live if `back` is true, else as leaving.
 */
export const stepArbitrary = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: literal("advance"),
      ms: fc.constantFrom(1, 3, 30, 250, 1_500),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: literal("send"),
      entry,
      className,
      runMs,
      count: fc.integer({ min: 1, max: 6 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: literal("rent"),
      entry,
      again: entry,
      key: fc.integer({ min: 0, max: 4 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: literal("drain"), host, rival: host }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: literal("move"), host, pool }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: literal("move-under-load"),
      host,
      pool,
      entry,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "isolate-through-move" as const,
        "pause-through-move" as const,
      ),
      host,
      pool,
      entry,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: literal("kill-during-start"),
      entry,
      key: fc.integer({ min: 0, max: 4 }),
      ms: fc.integer({ min: 1, max: 8 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: literal("return"), host }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: literal("wave"),
      pool,
      spoil: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: literal("edit"),
      weight: fc.integer({ min: 1, max: 9 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: literal("pause"), entry }) },
  { weight: 3, arbitrary: fc.record({ kind: literal("resume"), entry }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: literal("kill"),
      entry,
      gone: fc.boolean(),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: literal("restart"), entry }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: literal("cut"),
      a: entry,
      b: entry,
      cut: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: literal("cut-zone"),
      zone: fc.constantFrom("a", "b"),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: literal("platform"),
      down: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: literal("lose-answers"),
      count: fc.integer({ min: 1, max: 4 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: literal("drop-answers"),
      host,
      on: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: literal("black-hole"), host }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: literal("leave"),
      host,
      back: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: literal("stale-table"),
      entry,
      weight: fc.integer({ min: 1, max: 9 }),
    }),
  },
);

/** Number of requests that keep all slots of a pool busy. */
const surgeSize = 6;
const surgeRunMs = 900;
const surgePauseMs = 400;
/** Exceeds the timeouts of links, the delay of the host list, and leases. */
const absenceDurationMs = 2_500;

/** One step of a simulation. */
export type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T
  : never;

/** Performs one step. */
export async function performStep(
  sim: EntrySimulation,
  step: Step,
): Promise<void> {
  sim.countEvent(step.kind);
  switch (step.kind) {
    case "advance":
      return await sim.advance(step.ms);
    case "send":
      for (let i = 0; i < step.count; i++) {
        sim.send(step.entry, step.className, step.runMs);
      }
      break;
    case "rent":
      for (const name of [step.entry, step.again]) {
        sim.send(
          name,
          onceClass,
          onceRunMs[step.key],
          `key-${step.key}`,
        );
      }
      break;
    case "drain":
      drainOrMoveHost(sim, step.host);
      drainOrMoveHost(sim, step.rival);
      break;
    case "move":
      drainOrMoveHost(sim, step.host, step.pool);
      break;
    case "move-under-load":
      sendSurge(sim, step.entry);
      await sim.advance(5);
      drainOrMoveHost(sim, step.host, step.pool);
      await sim.advance(surgePauseMs);
      sendSurge(sim, step.entry);
      break;
    case "isolate-through-move":
      sendSurge(sim, step.entry);
      sim.isolate(step.entry, true);
      drainOrMoveHost(sim, step.host, step.pool);
      await sim.advance(absenceDurationMs);
      for (const name of sim.processes.keys()) sendSurge(sim, name);
      await sim.advance(surgePauseMs);
      sim.isolate(step.entry, false);
      break;
    case "pause-through-move":
      sendSurge(sim, step.entry);
      await sim.advance(5);
      sim.processes.get(step.entry)?.clock.pause();
      sim.setState(step.entry, "gone");
      await sim.advance(absenceDurationMs);
      drainOrMoveHost(sim, step.host, step.pool);
      await sim.advance(absenceDurationMs);
      for (const name of sim.processes.keys()) sendSurge(sim, name);
      await sim.advance(surgePauseMs);
      sim.processes.get(step.entry)?.clock.resume();
      sim.setState(step.entry, "live");
      break;
    case "kill-during-start":
      sim.send(
        step.entry,
        onceClass,
        onceRunMs[step.key],
        `key-${step.key}`,
      );
      await sim.advance(step.ms);
      sim.kill(step.entry);
      break;
    case "return":
      returnHost(sim, step.host);
      break;
    case "wave":
      startWave(sim, step.pool, step.spoil);
      break;
    case "stale-table":
      await editWeight(sim, step.weight);
      await sim.advance(surgePauseMs);
      sendStaleTable(sim, step.entry);
      break;
    case "edit":
      await editWeight(sim, step.weight);
      break;
    case "pause":
      sim.processes.get(step.entry)?.clock.pause();
      break;
    case "resume":
      sim.processes.get(step.entry)?.clock.resume();
      break;
    case "kill":
      sim.kill(step.entry);
      if (step.gone) sim.setState(step.entry, "gone");
      break;
    case "restart":
      sim.setState(step.entry, "live");
      sim.startEntry(step.entry);
      break;
    default:
      injectFault(sim, step);
  }
  await sim.advance(0);
}

/** Sends enough urgent requests to fill both pools. */
function sendSurge(sim: EntrySimulation, entry: string): void {
  for (let i = 0; i < surgeSize; i++) {
    sim.send(entry, "urgent1", surgeRunMs);
    sim.send(entry, "urgent2", surgeRunMs);
  }
}

/** Injects a fault into the links, the platform, the endpoints or the list. */
function injectFault(sim: EntrySimulation, step: Step): void {
  const { faults } = sim.platform;
  switch (step.kind) {
    case "cut":
      sim.network.setCut(step.a, step.b, step.cut);
      break;
    case "cut-zone":
      faults.cutZones = [step.zone];
      for (const [i, a] of entryZones.entries()) {
        for (const [j, b] of entryZones.entries()) {
          if (a !== b) sim.network.setCut(`e${i + 1}`, `e${j + 1}`, true);
        }
      }
      break;
    case "platform":
      faults.down = step.down;
      break;
    case "lose-answers":
      faults.loseAnswers = step.count;
      break;
    case "drop-answers":
      if (step.on) sim.endpoints.losingAnswers.add(step.host);
      else sim.endpoints.losingAnswers.delete(step.host);
      break;
    case "black-hole":
      sim.endpoints.blackHoles.add(step.host);
      break;
    case "leave":
      sim.setState(step.host, step.back ? "live" : "leaving");
      break;
  }
}

/** Delivers a delayed delta with an older table version to an entry. */
function sendStaleTable(sim: EntrySimulation, name: string): void {
  const core = sim.processes.get(name)?.core;
  if (core === undefined || core.table.version < 2) return;
  sim.countEvent("stale table sent");
  const delta = {
    base: 0,
    version: core.table.version - 1,
    digest: core.table.digest(),
    changed: [...core.table.rows.values()],
    removed: [],
  };
  core.fleet.send({ kind: "delta", delta, from: "e1" });
}
