/**
 * Measures the time from the acceptance of a table edit until all reachable
 * entries have it in force, on separate processes.
 */
import process from "node:process";
import { deployments } from "../fakes/deployment.ts";
import { Stack } from "../fakes/stack.ts";
import { editClass } from "../fakes/table_edit.ts";
import { statusReplySchema } from "../src/operator/index.ts";

const editCount = 40;
const platformDelayMs = 1_000;
const slowEditCount = 10;

/** Measurements of the edits under one condition. */
interface RolloutRow {
  /** Name of the condition. */
  readonly name: string;
  readonly edits: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** Smallest number of entries that confirmed an edit. */
  readonly leastConfirmed: number;
  /** Bytes sent to peers per edit, less the traffic without edits. */
  readonly peerBytesPerEdit: number;
}

/** Returns the bytes that all entries have sent to their peers. */
async function peerBytesOut(stack: Stack): Promise<number> {
  let total = 0;
  for (let i = 0; i < stack.entries.length; i++) {
    const status = await stack.operator(i).get("/v1/status", statusReplySchema);
    if (status.ok) total += status.val.peers.bytesOut;
  }
  return total;
}

/** Makes `count` edits, one after another. */
async function measureEdits(
  stack: Stack,
  name: string,
  count: number,
): Promise<RolloutRow> {
  const times: number[] = [];
  let leastConfirmed = Infinity;
  const before = await peerBytesOut(stack);
  const startedAt = performance.now();
  for (let i = 0; i < count; i++) {
    const change = { price: 100 + i };
    const operator = stack.operator(i % 2);
    const edit = (await editClass(operator, "quote-ohio", change)).unwrap();
    times.push(edit.acceptToConfirmMs);
    const confirmed = edit.confirmation.confirmed.length;
    leastConfirmed = Math.min(leastConfirmed, confirmed);
  }
  const seconds = (performance.now() - startedAt) / 1000;
  const sentBytes = await peerBytesOut(stack) - before;
  const idlePerSecond = await idleBytesPerSecond(stack);
  times.sort((a, b) => a - b);
  const percentile = (share: number) =>
    Math.round(times[Math.min(count - 1, Math.floor(count * share))]);
  return {
    name,
    edits: count,
    p50Ms: percentile(0.5),
    p99Ms: percentile(0.99),
    maxMs: percentile(1),
    leastConfirmed,
    peerBytesPerEdit: Math.round((sentBytes - idlePerSecond * seconds) / count),
  };
}

/** Returns the peer traffic of all entries without edits, in bytes/s. */
async function idleBytesPerSecond(stack: Stack): Promise<number> {
  const before = await peerBytesOut(stack);
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  return await peerBytesOut(stack) - before;
}

/** Runs the benchmark and prints one JSON line per condition. */
export async function rolloutBench(): Promise<unknown> {
  const stack = await Stack.start(deployments.ironshore, { moves: false });
  const rows: RolloutRow[] = [];
  const measureAndPrint = async (name: string, count: number) => {
    const row = await measureEdits(stack, name, count);
    rows.push(row);
    process.stdout.write(`${JSON.stringify(row)}\n`);
  };
  try {
    await measureAndPrint("healthy", editCount);
    const isSilentLink = (a: { id: string }, b: { id: string }) =>
      a.id === "entry-1" && b.id === "entry-4";
    stack.setLinkMode("silent", isSilentLink);
    await measureAndPrint("one link silent", slowEditCount);
    stack.setLinkMode("pass", isSilentLink);
    await stack.callControl(stack.platform, "faults", {
      slowMs: platformDelayMs,
    });
    await measureAndPrint("platform slow by 1 s", slowEditCount);
    await stack.callControl(stack.platform, "faults", { slowMs: 0 });
    const idle = await idleBytesPerSecond(stack);
    return { rows, idlePeerBytesPerSecondAllEntries: idle };
  } finally {
    await stack.stop();
  }
}
