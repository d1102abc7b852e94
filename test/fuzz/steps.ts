/** The steps of a simulation: work, operators, and an adversary. */
import fc from "fast-check";
import {
  commandWave,
  drainHost,
  planWave,
  type Wave,
  waveKey,
} from "../../src/maintenance/index.ts";
import { hostSchema, returnToService } from "../../src/hosts/index.ts";
import { commitEdit, readTable } from "../../src/table/index.ts";
import { decodeRows } from "../../src/platform/index.ts";
import {
  entryZones,
  hostNames,
  onceClass,
  pools,
  type World,
} from "./world.ts";

const entry = fc.constantFrom(...entryZones.map((_, i) => `e${i + 1}`));
const host = fc.constantFrom(...hostNames);
const pool = fc.constantFrom(...pools);
const runMs = fc.constantFrom(5, 40, 200, 900, 2_500);
const className = fc.constantFrom("urgent1", "urgent2", "batch");
const kind = <K extends string>(name: K) => fc.constant(name);

/** Run time in ms of the run of each key. */
const rentRunMs = [5, 40, 400, 1_000, 2_500];

/** One step, with values that `fast-check` draws and shrinks. */
export const stepArbitrary = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: kind("advance"),
      ms: fc.constantFrom(1, 3, 30, 250, 1_500),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: kind("send"),
      entry,
      className,
      runMs,
      count: fc.integer({ min: 1, max: 6 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: kind("rent"),
      entry,
      again: entry,
      key: fc.integer({ min: 0, max: 4 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: kind("drain"), host, rival: host }),
  },
  { weight: 3, arbitrary: fc.record({ kind: kind("move"), host, pool }) },
  { weight: 2, arbitrary: fc.record({ kind: kind("return"), host }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: kind("wave"), pool, spoil: fc.boolean() }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind("edit"),
      weight: fc.integer({ min: 1, max: 9 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: kind("pause"), entry }) },
  { weight: 3, arbitrary: fc.record({ kind: kind("resume"), entry }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: kind("kill"), entry, gone: fc.boolean() }),
  },
  { weight: 2, arbitrary: fc.record({ kind: kind("restart"), entry }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind("cut"),
      a: entry,
      b: entry,
      cut: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: kind("cut-zone"),
      zone: fc.constantFrom("a", "b"),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: kind("platform"), down: fc.boolean() }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind("lose-answers"),
      count: fc.integer({ min: 1, max: 4 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind("drop-answers"),
      host,
      on: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: kind("black-hole"), host }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: kind("leave"), host, back: fc.boolean() }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: kind("stale-table"),
      entry,
      version: fc.integer({ min: 1, max: 3 }),
    }),
  },
);

export type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T
  : never;

/** Carries one step out. */
export async function takeStep(world: World, step: Step): Promise<void> {
  world.count(step.kind);
  switch (step.kind) {
    case "advance":
      return await world.advance(step.ms);
    case "send":
      for (let i = 0; i < step.count; i++) {
        world.send(step.entry, step.className, step.runMs);
      }
      break;
    case "rent":
      for (const name of [step.entry, step.again]) {
        world.send(name, onceClass, rentRunMs[step.key], `key-${step.key}`);
      }
      break;
    case "drain":
      drain(world, step.host);
      drain(world, step.rival);
      break;
    case "move":
      drain(world, step.host, step.pool);
      break;
    case "return":
      returnHost(world, step.host);
      break;
    case "wave":
      startWave(world, step.pool, step.spoil);
      break;
    case "edit":
      await editWeight(world, step.weight);
      break;
    case "pause":
      world.processes.get(step.entry)?.clock.pause();
      break;
    case "resume":
      world.processes.get(step.entry)?.clock.resume();
      break;
    case "kill":
      world.kill(step.entry);
      if (step.gone) world.list(step.entry, "gone");
      break;
    case "restart":
      world.list(step.entry, "live");
      world.startEntry(step.entry);
      break;
    default:
      disturb(world, step);
  }
  await world.advance(0);
}

/** Steps of the adversary on the links, the platform, and the endpoints. */
function disturb(world: World, step: Step): void {
  const { faults } = world.platform;
  switch (step.kind) {
    case "cut":
      world.network.setCut(step.a, step.b, step.cut);
      break;
    case "cut-zone":
      faults.cutZones = [step.zone];
      for (const [i, a] of entryZones.entries()) {
        for (const [j, b] of entryZones.entries()) {
          if (a !== b) world.network.setCut(`e${i + 1}`, `e${j + 1}`, true);
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
      if (step.on) world.endpoints.dropping.add(step.host);
      else world.endpoints.dropping.delete(step.host);
      break;
    case "black-hole":
      world.endpoints.blackHoles.add(step.host);
      break;
    case "leave":
      world.list(step.host, step.back ? "live" : "leaving");
      break;
    case "stale-table":
      sendStaleTable(world, step.entry, step.version);
      break;
  }
}

/** Two entries order drains at one moment: operators race. */
async function drain(world: World, name: string, target?: string) {
  const process = [...world.processes.values()][0];
  if (process === undefined) return;
  const parts = {
    platform: world.platform,
    endpoints: world.endpoints.clientOf(process.clock),
    clock: process.clock,
    checkBudget: world.mechanisms.checkBudget,
  };
  const operation = world.nextOperation();
  const drained = await drainHost(
    spied(world, parts),
    { host: name, cause: "operator", target },
    { who: "operator", at: 0, operation },
  );
  world.count(drained.ok ? "drain allowed" : `drain ${drained.val.code.name}`);
}

/** Shows the oracle the operators' commits too. */
function spied<T extends { platform: World["platform"] }>(
  world: World,
  parts: T,
) {
  const { platform } = world;
  const table = {
    read: platform.table.read,
    commit: (tx: Parameters<typeof platform.commit>[0]) => {
      const before = new Map(platform.rows);
      const outcome = platform.commit(tx);
      world.noteCommit(tx, before);
      return Promise.resolve(outcome);
    },
  };
  return {
    ...parts,
    platform: { table, listHosts: () => platform.listHosts() },
  };
}

async function returnHost(world: World, name: string): Promise<void> {
  const rows = world.platform.read({ keys: [`host/${name}`] });
  if (rows.err) return;
  const stored = decodeRows(hostSchema, rows.val, "host/")[0];
  if (stored === undefined || stored.value.state !== "drained") return;
  const next = returnToService(stored.value);
  if (next.err) return;
  await world.platform.table.commit({
    operation: world.nextOperation(),
    checks: [{ key: stored.key, version: stored.version }],
    writes: [{ key: stored.key, value: next.val }],
  });
}

async function startWave(
  world: World,
  name: string,
  spoil: boolean,
): Promise<void> {
  const rows = world.platform.read({ prefixes: ["host/"] });
  if (rows.err) return;
  const hosts = decodeRows(hostSchema, rows.val, "host/")
    .map((row) => row.value).filter((h) => h.pool === name);
  if (hosts.length === 0) return;
  if (spoil) { for (const h of hosts) world.endpoints.spoiled.add(h.name); }
  const operation = world.nextOperation();
  const planned = planWave(operation, hosts, 2, 0);
  const canary = commandWave(planned, "start");
  if (canary.err) return;
  const running: Wave = { ...canary.val, state: "running" };
  const key = waveKey(operation);
  await world.platform.table.commit({
    operation,
    checks: [{ key, version: 0 }],
    writes: [{ key, value: running }],
  });
}

async function editWeight(world: World, weight: number): Promise<void> {
  const table = await readTable(world.platform.table);
  if (table.err) return;
  const stored = table.val.rows.get("class/urgent1");
  if (stored === undefined || stored.row.kind !== "class") return;
  const row = { ...stored.row, weight };
  const changes = [{ key: "class/urgent1", base: stored.version, row }];
  const ctx = { who: "operator", at: 0, operation: world.nextOperation() };
  await commitEdit(world.platform, { changes }, ctx);
}

/** A late frame of an older table reaches an entry. */
function sendStaleTable(world: World, name: string, version: number): void {
  const core = world.processes.get(name)?.core;
  if (core === undefined || core.table.version <= version) return;
  const { rows } = core.table;
  const delta = {
    base: 0,
    version,
    digest: core.table.digest(),
    changed: [...rows.values()],
    removed: [],
  };
  core.fleet.tell({ kind: "delta", delta, from: "e1" });
}
