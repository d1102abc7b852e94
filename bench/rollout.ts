/** Time of a table edit into force on all entries, on real processes. */
import process from "node:process";
import { deployments } from "../fakes/deployment.ts";
import { Stack } from "../fakes/stack.ts";
import { editClass } from "../fakes/table_edit.ts";
import { statusReplySchema } from "../src/operator/index.ts";

const edits = 40;
const slowMs = 1_000;
const slowEdits = 10;

interface Rollout {
  readonly name: string;
  readonly edits: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** Entries in force at the end of each edit, the smallest number. */
  readonly leastConfirmed: number;
  readonly peerBytesPerEdit: number;
}

async function bytesOut(stack: Stack): Promise<number> {
  let total = 0;
  for (let i = 0; i < stack.entries.length; i++) {
    const status = await stack.operator(i).get("/v1/status", statusReplySchema);
    if (status.ok) total += status.val.peers.bytesOut;
  }
  return total;
}

async function measure(
  stack: Stack,
  name: string,
  count: number,
): Promise<Rollout> {
  const times: number[] = [];
  let leastConfirmed = Infinity;
  const before = await bytesOut(stack);
  const startedAt = performance.now();
  for (let i = 0; i < count; i++) {
    const change = { price: 100 + i };
    const operator = stack.operator(i % 2);
    const edit = (await editClass(operator, "quote-ohio", change)).unwrap();
    times.push(edit.sinceAcceptMs);
    const confirmed = edit.force.confirmed.length;
    leastConfirmed = Math.min(leastConfirmed, confirmed);
  }
  const seconds = (performance.now() - startedAt) / 1000;
  const spent = await bytesOut(stack) - before;
  const idle = await idleBytesPerSecond(stack);
  times.sort((a, b) => a - b);
  const at = (share: number) =>
    Math.round(times[Math.min(count - 1, Math.floor(count * share))]);
  return {
    name,
    edits: count,
    p50Ms: at(0.5),
    p99Ms: at(0.99),
    maxMs: at(1),
    leastConfirmed,
    peerBytesPerEdit: Math.round((spent - idle * seconds) / count),
  };
}

async function idleBytesPerSecond(stack: Stack): Promise<number> {
  const before = await bytesOut(stack);
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  return await bytesOut(stack) - before;
}

/** Runs the benchmark. */
export async function rolloutBench(): Promise<unknown> {
  const stack = await Stack.start(deployments.ironshore, { moves: false });
  const rows: Rollout[] = [];
  const note = async (name: string, count: number) => {
    const row = await measure(stack, name, count);
    rows.push(row);
    process.stdout.write(`${JSON.stringify(row)}\n`);
  };
  try {
    await note("healthy", edits);
    const link = (a: { id: string }, b: { id: string }) =>
      a.id === "entry-1" && b.id === "entry-4";
    stack.cutLinks("silent", link);
    await note("one link silent", slowEdits);
    stack.cutLinks("pass", link);
    await stack.control(stack.platform, "faults", { slowMs });
    await note("platform slow by 1 s", slowEdits);
    await stack.control(stack.platform, "faults", { slowMs: 0 });
    const idle = await idleBytesPerSecond(stack);
    return { rows, idlePeerBytesPerSecondAllEntries: idle };
  } finally {
    await stack.stop();
  }
}
