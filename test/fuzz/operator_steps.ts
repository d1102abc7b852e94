/** What operators do in a simulation, straight on the platform. */
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
import type { World } from "./world.ts";

/** Orders a drain or a move of a host. */
export async function drain(world: World, name: string, target?: string) {
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

/** Returns a drained host to its pool, as an operator does. */
export async function returnHost(world: World, name: string): Promise<void> {
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

/** Starts a wave over a pool, past its canary. */
export async function startWave(
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

/** Edits a weight of the table. */
export async function editWeight(world: World, weight: number): Promise<void> {
  const table = await readTable(world.platform.table);
  if (table.err) return;
  const stored = table.val.rows.get("class/urgent1");
  if (stored === undefined || stored.row.kind !== "class") return;
  const row = { ...stored.row, weight };
  const changes = [{ key: "class/urgent1", base: stored.version, row }];
  const ctx = { who: "operator", at: 0, operation: world.nextOperation() };
  await commitEdit(world.platform, { changes }, ctx);
}
