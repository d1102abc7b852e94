/**
 * `npm run demo`: a short day at Hinokuni on separate processes. Prints what
 * was asked and what happened; exits with 0 only if each promise held.
 */
import process from "node:process";
import {
  hostReplySchema,
  hostsReplySchema,
  jobsReplySchema,
} from "../src/operator/index.ts";
import { Callers } from "./caller.ts";
import { deployments } from "./deployment.ts";
import { countFindings, judge } from "./evidence.ts";
import { Stack } from "./stack.ts";
import { editClass } from "./table_edit.ts";

const loadMs = 12_000;
const rentRuns = 120;
const forceTargetMs = 2_000;
const drainLimitMs = 10_000;
const jobsLimitMs = 15_000;
const killedEntry = "entry-3";
const killedIndex = 2;
const drainedHost = "fitters-1";

interface Line {
  readonly asked: string;
  readonly happened: string;
  readonly held: boolean;
}

const lines: Line[] = [];

function note(asked: string, happened: string, held: boolean): void {
  lines.push({ asked, happened, held });
}

/** Edits the price of the rent run and notes the time into force. */
async function editPrice(stack: Stack): Promise<void> {
  const operator = stack.operator(1, "akari");
  const change = { price: 4350, weight: 4 };
  const edit = (await editClass(operator, "rent-run", change)).unwrap();
  const { force, sinceSubmitMs: ms } = edit;
  const everywhere = force.confirmed.length === stack.entries.length;
  note(
    "edit the rent run's price and weight",
    `in force on ${force.confirmed.length} entries after ${ms.toFixed(0)} ms`,
    everywhere && ms <= forceTargetMs,
  );
}

async function drainUnderLoad(stack: Stack): Promise<void> {
  const operator = stack.operator(0, "akari");
  const startedAt = performance.now();
  const path = `/v1/hosts/${drainedHost}/drain`;
  (await operator.post(path, hostReplySchema)).unwrap();
  await stack.waitFor(async () => {
    const reply = await operator.get("/v1/hosts", hostsReplySchema);
    const host = reply.ok
      ? reply.val.hosts.find((h) => h.name === drainedHost)
      : undefined;
    return host?.state === "drained";
  }, drainLimitMs);
  const ms = performance.now() - startedAt;
  const drainedAt = Date.now();
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  const record = (await stack.records()).find((r) => r.name === drainedHost);
  const late = record?.runs.filter((r) => r.startedAt > drainedAt).length ?? 0;
  note(
    `drain ${drainedHost} under load`,
    `drained after ${ms.toFixed(0)} ms, ${late} runs started afterwards`,
    late === 0,
  );
}

async function killEntry(stack: Stack, callers: Callers): Promise<void> {
  stack.signal(killedEntry, "SIGKILL");
  await stack.ended(killedEntry);
  callers.remove(killedIndex);
  await stack.control(stack.platform, "hosts", {
    name: killedEntry,
    state: "gone",
  });
}

async function awaitJobs(stack: Stack): Promise<readonly string[]> {
  const states = new Map<string, string>();
  const done = async () => {
    const reply = await stack.operator().get("/v1/jobs", jobsReplySchema);
    if (reply.err) return false;
    for (const job of reply.val.jobs) states.set(job.id, job.state);
    return reply.val.jobs.every((j) => j.state === "done");
  };
  await stack.waitFor(done, jobsLimitMs).catch(() => undefined);
  return [...states].filter(([, s]) => s === "done").map(([id]) => id);
}

async function run(stack: Stack): Promise<void> {
  const callers = new Callers(stack.entries.map((e) => e.caller));
  const urgent = [
    callers.stream({ class: "fitter-signoff", path: "/?ms=60" }, 60, loadMs),
    callers.stream({ class: "fault-ticket", path: "/?ms=80" }, 60, loadMs),
    callers.stream({ class: "exchange-order", path: "/?ms=120" }, 30, loadMs),
  ];
  const rent = Array.from({ length: rentRuns }, (_, i) =>
    callers.send({
      class: "rent-run",
      path: "/?ms=1500",
      headers: { "idempotency-key": `rent-${i}`, prefer: "respond-async" },
    }));
  await Promise.all(rent);
  await editPrice(stack);
  await drainUnderLoad(stack);
  await killEntry(stack, callers);
  await Promise.all(urgent);
  const done = new Set(await awaitJobs(stack));
  report(callers, await stack.records(), done);
  await callers.close();
}

function report(
  callers: Callers,
  records: Awaited<ReturnType<Stack["records"]>>,
  done: ReadonlySet<string>,
): void {
  const { ends } = callers;
  for (const name of ["fitter-signoff", "fault-ticket", "exchange-order"]) {
    const own = ends.filter((e) => e.class === name);
    const good = own.filter((e) => e.code === 1000 && e.own);
    const broken = own.filter((e) => e.code === 0);
    const byKill = broken.every((e) => e.entry === killedEntry);
    const refused = own.length - good.length - broken.length;
    note(
      `${own.length} ${name} requests`,
      `${good.length} answered, ${refused} refused, ${broken.length} broken ` +
        "by the killed entry",
      byKill && refused === 0,
    );
  }
  const accepted = ends.filter((e) => e.code === 1001);
  const finished = accepted.filter((e) => done.has(e.jobId ?? ""));
  note(
    `${rentRuns} rent runs, at most once`,
    `${accepted.length} accepted, ${finished.length} done`,
    accepted.length === rentRuns && finished.length === accepted.length,
  );
  const findings = judge(ends, records, ["rent-run"]);
  const most = Math.max(...records.map((r) => r.maxRunning));
  note(
    `kill ${killedEntry}`,
    `${findings.duplicates.length} duplicates, ` +
      `${findings.wrongAnswers.length} wrong answers, ` +
      `${findings.falseNotRun.length} false refusals, ` +
      `${findings.mixedPools.length} mixed hosts, ` +
      `at most ${most} runs on a host`,
    countFindings(findings) === 0 && most <= 8,
  );
}

async function main(): Promise<number> {
  const startedAt = performance.now();
  const stack = await Stack.start(deployments.hinokuni);
  try {
    await run(stack);
  } finally {
    await stack.stop();
  }
  const width = Math.max(...lines.map((l) => l.asked.length));
  for (const { asked, happened, held } of lines) {
    const verdict = held ? "held  " : "BROKEN";
    process.stdout.write(`${verdict}  ${asked.padEnd(width)}  ${happened}\n`);
  }
  const seconds = (performance.now() - startedAt) / 1000;
  process.stdout.write(`${seconds.toFixed(1)} s\n`);
  return lines.every((l) => l.held) ? 0 : 1;
}

main().then((code) => process.exit(code), (err) => {
  process.stderr.write(`${err instanceof Error ? err.stack : err}\n`);
  process.exit(1);
});
