/**
 * Compares the throughput and latency of an entry with those of a bare relay.
 * Rounds alternate between the two, so that other load on the machine affects
 * both alike.
 */
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { startPlatform } from "../fakes/platform_server.ts";
import {
  editReplySchema,
  OperatorClient,
  statusReplySchema,
} from "../src/operator/index.ts";
import type { TableRow } from "../src/table/index.ts";
import { type StartedProgram, startProgram } from "./processes.ts";

const roundCount = 8;
const roundMs = 1_000;
const warmUpMs = 3_000;
/** Duration of a clock tick, the unit of CPU times in /proc, in µs. */
const cpuTickUs = 10_000;
const callerCount = 64;
const hostCount = 8;
const readyTimeoutMs = 10_000;
const token = "bench-operator-token";
const body = JSON.stringify({ household: 4711, step: "sign-off" });
/** Smallest accepted ratio of the entry's request rate to the relay's. */
const targetRateRatio = 0.7;
/** Largest accepted difference of the 99th percentiles of latency, in ms. */
const targetAddedMs = 3;

/** A server under test. */
interface Target {
  readonly name: "bare" | "entry";
  readonly pool: Pool;
  readonly path: string;
  /** Process id of the server. */
  readonly pid: number;
}

/** Result of one round at full load. */
interface SaturationRound {
  /** Successful requests per second. */
  readonly perSecond: number;
  readonly errors: number;
  /** CPU time of the server per successful request, in µs. */
  readonly cpuUs: number;
}

/** Returns the user and system CPU time of a process, in µs. */
function readCpuUs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
  return (Number(fields[13]) + Number(fields[14])) * cpuTickUs;
}

/** Sends requests for `ms` as fast as the callers' connections allow. */
async function measureSaturation(
  target: Target,
  ms: number,
): Promise<SaturationRound> {
  const endAt = performance.now() + ms;
  const cpuBefore = readCpuUs(target.pid);
  let succeeded = 0;
  let errors = 0;
  const sendInLoop = async () => {
    while (performance.now() < endAt) {
      if (await sendRequest(target)) succeeded++;
      else errors++;
    }
  };
  await Promise.all(Array.from({ length: callerCount }, sendInLoop));
  const cpuUs = (readCpuUs(target.pid) - cpuBefore) / succeeded;
  return { perSecond: succeeded / (ms / 1000), errors, cpuUs };
}

/** Sends at a fixed rate for `ms` and records the latencies in µs. */
async function measureLatencies(
  target: Target,
  perSecond: number,
  ms: number,
): Promise<Histogram> {
  const latencies = build();
  const startedAt = performance.now();
  const count = Math.floor(perSecond * ms / 1000);
  const pending: Promise<void>[] = [];
  for (let i = 0; i < count; i++) {
    const dueAt = startedAt + i * 1000 / perSecond;
    while (performance.now() < dueAt) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const sentAt = performance.now();
    pending.push(
      sendRequest(target).then(() => {
        latencies.recordValue(Math.round((performance.now() - sentAt) * 1000));
      }),
    );
  }
  await Promise.all(pending);
  return latencies;
}

/** Sends one request; returns whether it was answered with status 200. */
async function sendRequest({ pool, path }: Target): Promise<boolean> {
  try {
    const res = await pool.request({ method: "POST", path, body });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}

const tableRows: readonly TableRow[] = [
  { kind: "pool", name: "fitters", budget: 0, spare: false },
  {
    kind: "class",
    name: "signoff",
    pool: "fitters",
    urgency: "urgent",
    repeat: "repeatable",
    weight: 1,
    price: 1,
    rate: 0,
    concurrency: 0,
    queue: 10_000,
    deadlineMs: 5_000,
    runMs: 10_000,
  },
];

/** Starts an entry with the given caller, operator and peer ports. */
async function startEntry(
  platform: string,
  ports: readonly number[],
): Promise<StartedProgram["child"]> {
  const settingsFile = join(
    mkdtempSync(join(tmpdir(), "briartide-")),
    "entry.toml",
  );
  const [caller, operator, peer] = ports.map((p) => `127.0.0.1:${p}`);
  writeFileSync(
    settingsFile,
    `
[entry]
id = "entry-1"
zone = "here"
[caller]
address = "${caller}"
[operator]
address = "${operator}"
token = "${token}"
[peer]
address = "${peer}"
token = "bench-peer-token-01"
[platform]
url = "http://${platform}"
`,
  );
  const args = ["serve", "--settings", settingsFile];
  const { child } = await startProgram("dist/briartide.cjs", args);
  return child;
}

/** Commits the table and waits until the entry owns all hosts. */
async function prepareEntry(client: OperatorClient): Promise<void> {
  const changes = tableRows.map((row) => ({
    key: `${row.kind}/${row.name}`,
    base: 0,
    row,
  }));
  const deadline = Date.now() + readyTimeoutMs;
  for (;;) {
    await client.post("/v1/table", editReplySchema, { changes });
    const status = await client.get("/v1/status", statusReplySchema);
    if (status.ok && status.val.ownedHosts === hostCount) return;
    if (Date.now() > deadline) throw new Error("the entry never became ready");
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}

/** Runs the benchmark and returns its figures. */
export async function relayBench(): Promise<unknown> {
  const basePort = 31_000 + process.pid % 1_000;
  const endpoint = await startProgram("dist/quick_endpoint.cjs", [
    String(hostCount),
  ]);
  const urls = (endpoint.firstLine as string[]).map((a) => `http://${a}`);
  const relay = await startProgram("dist/bare_relay.cjs", [urls[0]]);
  const workers = Array.from({ length: hostCount }, (_, i) => ({
    name: `fitters-${i + 1}`,
    role: "worker" as const,
    state: "live" as const,
    zone: "here",
    rack: "r1",
    address: urls[i],
    pool: "fitters",
    slots: 8,
    connections: 64,
  }));
  const self = {
    ...workers[0],
    name: "entry-1",
    role: "entry" as const,
    pool: "",
  };
  const platform = await startPlatform({
    hosts: [...workers, self],
    listLagMs: 0,
  });
  const entry = await startEntry(platform.address, [
    basePort,
    basePort + 1,
    basePort + 2,
  ]);
  const client = new OperatorClient({
    address: `127.0.0.1:${basePort + 1}`,
    token,
    who: "bench",
  });
  await prepareEntry(client);
  const targets: readonly Target[] = [
    {
      name: "bare",
      pool: connectPool(String(relay.firstLine)),
      path: "/x",
      pid: relay.child.pid ?? 0,
    },
    {
      name: "entry",
      pool: connectPool(`127.0.0.1:${basePort}`),
      path: "/run/signoff/x",
      pid: entry.pid ?? 0,
    },
  ];
  const figures = await measureTargets(targets);
  platform.close();
  return figures;
}

function connectPool(address: string): Pool {
  return new Pool(`http://${address}`, {
    connections: callerCount,
    pipelining: 1,
  });
}

/**
 * Measures saturation first, then latency at half of the entry's median rate.
 */
async function measureTargets(targets: readonly Target[]) {
  const rates: Record<Target["name"], number[]> = { bare: [], entry: [] };
  const cpu: Record<Target["name"], number[]> = { bare: [], entry: [] };
  let errors = 0;
  for (const target of targets) await measureSaturation(target, warmUpMs);
  for (let i = 0; i < roundCount; i++) {
    for (const target of targets) {
      const round = await measureSaturation(target, roundMs);
      rates[target.name].push(round.perSecond);
      cpu[target.name].push(round.cpuUs);
      errors += round.errors;
    }
  }
  const halfLoadPerSecond = median(rates.entry) / 2;
  const latencies = { bare: build(), entry: build() };
  for (let i = 0; i < roundCount; i++) {
    for (const target of targets) {
      latencies[target.name].add(
        await measureLatencies(target, halfLoadPerSecond, roundMs),
      );
    }
  }
  const percentileMs = (name: Target["name"], percent: number) =>
    latencies[name].getValueAtPercentile(percent) / 1000;
  const rateRatio = median(rates.entry) / median(rates.bare);
  const addedP99 = percentileMs("entry", 99) - percentileMs("bare", 99);
  return {
    rounds: roundCount,
    barePerSecond: rates.bare.map(Math.round),
    entryPerSecond: rates.entry.map(Math.round),
    share: Number(rateRatio.toFixed(3)),
    bareCpuUs: Math.round(median(cpu.bare)),
    entryCpuUs: Math.round(median(cpu.entry)),
    halfLoadPerSecond: Math.round(halfLoadPerSecond),
    bareP50Ms: percentileMs("bare", 50),
    entryP50Ms: percentileMs("entry", 50),
    bareP99Ms: percentileMs("bare", 99),
    entryP99Ms: percentileMs("entry", 99),
    addedP99Ms: Number(addedP99.toFixed(3)),
    errors,
    targetShare: targetRateRatio,
    targetAddedMs,
    met: rateRatio >= targetRateRatio && addedP99 <= targetAddedMs &&
      errors === 0,
  };
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}
