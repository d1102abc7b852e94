/** Operators' actions in a simulation, made directly on the platform. */
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
import type { EntrySimulation } from "./entry_simulation.ts";

/** Drains a host, or moves it to the pool `target` if that is given. */
export async function drainOrMoveHost(
  sim: EntrySimulation,
  name: string,
  target?: string,
) {
  const process = [...sim.processes.values()][0];
  if (process === undefined) return;
  const deps = {
    platform: sim.platform,
    endpoints: sim.endpoints.clientFor(process.clock),
    clock: process.clock,
    checkBudget: sim.mechanisms.checkBudget,
  };
  const operation = sim.nextOperationId();
  const result = await drainHost(
    withCheckedCommits(sim, deps),
    { host: name, cause: "operator", target },
    { who: "operator", at: 0, operation },
  );
  sim.countEvent(
    result.ok ? "drain allowed" : `drain ${result.val.code.name}`,
  );
}

/** Replaces the platform by one whose commits the oracle checks. */
function withCheckedCommits<
  T extends { platform: EntrySimulation["platform"] },
>(
  sim: EntrySimulation,
  deps: T,
) {
  const { platform } = sim;
  const table = {
    read: platform.table.read,
    commit: (tx: Parameters<typeof platform.commit>[0]) => {
      const before = new Map(platform.rows);
      const outcome = platform.commit(tx);
      sim.checkCommit(tx, before);
      return Promise.resolve(outcome);
    },
  };
  return {
    ...deps,
    platform: { table, listHosts: () => platform.listHosts() },
  };
}

/** Returns a drained host to its pool; does nothing in other states. */
export async function returnHost(
  sim: EntrySimulation,
  name: string,
): Promise<void> {
  const rows = sim.platform.read({ keys: [`host/${name}`] });
  if (rows.err) return;
  const stored = decodeRows(hostSchema, rows.val, "host/")[0];
  if (stored === undefined || stored.value.state !== "drained") return;
  const returned = returnToService(stored.value);
  if (returned.err) return;
  await sim.platform.table.commit({
    operation: sim.nextOperationId(),
    checks: [{ key: stored.key, version: stored.version }],
    writes: [{ key: stored.key, value: returned.val }],
  });
}

/** Starts a wave over a pool and skips its canary phase. */
export async function startWave(
  sim: EntrySimulation,
  pool: string,
  failReboots: boolean,
): Promise<void> {
  const rows = sim.platform.read({ prefixes: ["host/"] });
  if (rows.err) return;
  const hosts = decodeRows(hostSchema, rows.val, "host/")
    .map((row) => row.value).filter((h) => h.pool === pool);
  if (hosts.length === 0) return;
  if (failReboots) {
    for (const h of hosts) sim.endpoints.failingReboot.add(h.name);
  }
  const operation = sim.nextOperationId();
  const planned = planWave(operation, hosts, 2, 0);
  const canary = commandWave(planned, "start");
  if (canary.err) return;
  const running: Wave = { ...canary.val, state: "running" };
  const key = waveKey(operation);
  await sim.platform.table.commit({
    operation,
    checks: [{ key, version: 0 }],
    writes: [{ key, value: running }],
  });
}

/** Edits the weight of the class `urgent1`. */
export async function editWeight(
  sim: EntrySimulation,
  weight: number,
): Promise<void> {
  const table = await readTable(sim.platform.table);
  if (table.err) return;
  const stored = table.val.rows.get("class/urgent1");
  if (stored === undefined || stored.row.kind !== "class") return;
  const row = { ...stored.row, weight };
  const changes = [{ key: "class/urgent1", base: stored.version, row }];
  const ctx = {
    who: "operator",
    at: 0,
    operation: sim.nextOperationId(),
  };
  await commitEdit(sim.platform, { changes }, ctx);
}
