/**
 * Throughput and added latency of one entry against a bare relay, in
 * alternating rounds of one run.
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
import { type Started, startProgram } from "./processes.ts";

const rounds = 8;
const roundMs = 1_000;
const warmUpMs = 3_000;
/** Unit of the processor times in /proc. */
const tickUs = 10_000;
const callers = 64;
const hosts = 8;
const readyMs = 10_000;
const token = "bench-operator-token";
const body = JSON.stringify({ household: 4711, step: "sign-off" });
const targetShare = 0.7;
const targetAddedMs = 3;

interface Target {
  readonly name: "bare" | "entry";
  readonly pool: Pool;
  readonly path: string;
  /** Process id of the relay. */
  readonly pid: number;
}

interface Round {
  readonly perSecond: number;
  readonly errors: number;
  /** Processor time of the relay per request in µs. */
  readonly cpuUs: number;
}

/** Processor time that a process has used, in µs. */
function cpuOf(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
  return (Number(fields[13]) + Number(fields[14])) * tickUs;
}

/** Sends as fast as the callers' connections allow. */
async function saturate(target: Target, ms: number): Promise<Round> {
  const endAt = performance.now() + ms;
  const cpuBefore = cpuOf(target.pid);
  let done = 0;
  let errors = 0;
  const caller = async () => {
    while (performance.now() < endAt) {
      if (await call(target)) done++;
      else errors++;
    }
  };
  await Promise.all(Array.from({ length: callers }, caller));
  const cpuUs = (cpuOf(target.pid) - cpuBefore) / done;
  return { perSecond: done / (ms / 1000), errors, cpuUs };
}

/** Sends at a steady rate and records the latencies in µs. */
async function steady(
  target: Target,
  perSecond: number,
  ms: number,
): Promise<Histogram> {
  const latencies = build();
  const startedAt = performance.now();
  const count = Math.floor(perSecond * ms / 1000);
  const open: Promise<void>[] = [];
  for (let i = 0; i < count; i++) {
    const due = startedAt + i * 1000 / perSecond;
    while (performance.now() < due) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const sentAt = performance.now();
    open.push(
      call(target).then(() => {
        latencies.recordValue(Math.round((performance.now() - sentAt) * 1000));
      }),
    );
  }
  await Promise.all(open);
  return latencies;
}

async function call({ pool, path }: Target): Promise<boolean> {
  try {
    const res = await pool.request({ method: "POST", path, body });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}

const table: readonly TableRow[] = [
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

async function startEntry(
  platform: string,
  ports: readonly number[],
): Promise<Started["child"]> {
  const file = join(mkdtempSync(join(tmpdir(), "briartide-")), "entry.toml");
  const [caller, operator, peer] = ports.map((p) => `127.0.0.1:${p}`);
  writeFileSync(
    file,
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
  const args = ["serve", "--settings", file];
  const { child } = await startProgram("dist/briartide.cjs", args);
  return child;
}

async function prepare(client: OperatorClient): Promise<void> {
  const changes = table.map((row) => ({
    key: `${row.kind}/${row.name}`,
    base: 0,
    row,
  }));
  const giveUpAt = Date.now() + readyMs;
  for (;;) {
    await client.post("/v1/table", editReplySchema, { changes });
    const status = await client.get("/v1/status", statusReplySchema);
    if (status.ok && status.val.ownedHosts === hosts) return;
    if (Date.now() > giveUpAt) throw new Error("the entry is not ready");
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}

/** Runs the benchmark. */
export async function relayBench(): Promise<unknown> {
  const base = 31_000 + process.pid % 1_000;
  const endpoint = await startProgram("dist/quick_endpoint.cjs", [
    String(hosts),
  ]);
  const urls = (endpoint.line as string[]).map((a) => `http://${a}`);
  const relay = await startProgram("dist/bare_relay.cjs", [urls[0]]);
  const listed = Array.from({ length: hosts }, (_, i) => ({
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
    ...listed[0],
    name: "entry-1",
    role: "entry" as const,
    pool: "",
  };
  const platform = await startPlatform({
    hosts: [...listed, self],
    listLagMs: 0,
  });
  const entry = await startEntry(platform.address, [base, base + 1, base + 2]);
  const client = new OperatorClient({
    address: `127.0.0.1:${base + 1}`,
    token,
    who: "bench",
  });
  await prepare(client);
  const targets: readonly Target[] = [
    {
      name: "bare",
      pool: connect(String(relay.line)),
      path: "/x",
      pid: relay.child.pid ?? 0,
    },
    {
      name: "entry",
      pool: connect(`127.0.0.1:${base}`),
      path: "/run/signoff/x",
      pid: entry.pid ?? 0,
    },
  ];
  const figures = await measure(targets);
  platform.close();
  return figures;
}

function connect(address: string): Pool {
  return new Pool(`http://${address}`, { connections: callers, pipelining: 1 });
}

async function measure(targets: readonly Target[]) {
  const rates: Record<Target["name"], number[]> = { bare: [], entry: [] };
  const cpu: Record<Target["name"], number[]> = { bare: [], entry: [] };
  let errors = 0;
  for (const target of targets) await saturate(target, warmUpMs);
  for (let i = 0; i < rounds; i++) {
    for (const target of targets) {
      const round = await saturate(target, roundMs);
      rates[target.name].push(round.perSecond);
      cpu[target.name].push(round.cpuUs);
      errors += round.errors;
    }
  }
  const half = median(rates.entry) / 2;
  const latencies = { bare: build(), entry: build() };
  for (let i = 0; i < rounds; i++) {
    for (const target of targets) {
      latencies[target.name].add(await steady(target, half, roundMs));
    }
  }
  const p = (name: Target["name"], share: number) =>
    latencies[name].getValueAtPercentile(share) / 1000;
  const share = median(rates.entry) / median(rates.bare);
  const addedP99 = p("entry", 99) - p("bare", 99);
  return {
    rounds,
    barePerSecond: rates.bare.map(Math.round),
    entryPerSecond: rates.entry.map(Math.round),
    share: Number(share.toFixed(3)),
    bareCpuUs: Math.round(median(cpu.bare)),
    entryCpuUs: Math.round(median(cpu.entry)),
    halfLoadPerSecond: Math.round(half),
    bareP50Ms: p("bare", 50),
    entryP50Ms: p("entry", 50),
    bareP99Ms: p("bare", 99),
    entryP99Ms: p("entry", 99),
    addedP99Ms: Number(addedP99.toFixed(3)),
    errors,
    targetShare,
    targetAddedMs,
    met: share >= targetShare && addedP99 <= targetAddedMs && errors === 0,
  };
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}
