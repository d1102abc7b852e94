/**
 * `npm run demo`: runs the Hinokuni deployment on separate processes, edits its
 * table, drains a host and kills an entry under load. Prints the result of each
 * check; the exit code is 0 only if all passed.
 */
import process from "node:process";
import {
  hostReplySchema,
  hostsReplySchema,
  jobsReplySchema,
} from "../src/operator/index.ts";
import { Callers } from "./caller.ts";
import { deployments } from "./deployment.ts";
import { countViolations, findViolations } from "./violations.ts";
import { Stack } from "./stack.ts";
import { editClass } from "./table_edit.ts";

const loadMs = 12_000;
const rentRunCount = 120;
const maxEditMs = 2_000;
const drainTimeoutMs = 10_000;
const jobsTimeoutMs = 15_000;
const killedEntry = "entry-3";
const killedEntryIndex = 2;
const drainedHost = "fitters-1";

/** One line of the demo's output. */
interface Check {
  readonly action: string;
  readonly result: string;
  readonly passed: boolean;
}

const checks: Check[] = [];

/** Records the result of one check for the report. */
function recordCheck(action: string, result: string, passed: boolean): void {
  checks.push({ action, result, passed });
}

/** Edits the rent run's price and checks the time until it is in force. */
async function editPrice(stack: Stack): Promise<void> {
  const operator = stack.operator(1, "akari");
  const change = { price: 4350, weight: 4 };
  const edit = (await editClass(operator, "rent-run", change)).unwrap();
  const { confirmation, submitToConfirmMs: ms } = edit;
  const onEveryEntry = confirmation.confirmed.length === stack.entries.length;
  recordCheck(
    "edit the rent run's price and weight",
    `in force on ${confirmation.confirmed.length} entries after ${
      ms.toFixed(0)
    } ms`,
    onEveryEntry && ms <= maxEditMs,
  );
}

/** Drains a host and checks that no run starts on it afterwards. */
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
  }, drainTimeoutMs);
  const ms = performance.now() - startedAt;
  const drainedAt = Date.now();
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  const record = (await stack.readRecords()).find((r) =>
    r.name === drainedHost
  );
  const lateRuns = record?.runs.filter((r) => r.startedAt > drainedAt).length ??
    0;
  recordCheck(
    `drain ${drainedHost} under load`,
    `drained after ${ms.toFixed(0)} ms, ${lateRuns} runs started afterwards`,
    lateRuns === 0,
  );
}

/** Kills an entry and removes it from the callers and the host list. */
async function killEntry(stack: Stack, callers: Callers): Promise<void> {
  stack.signal(killedEntry, "SIGKILL");
  await stack.waitForExit(killedEntry);
  callers.remove(killedEntryIndex);
  await stack.callControl(stack.platform, "hosts", {
    name: killedEntry,
    state: "gone",
  });
}

/** Waits for the jobs up to the timeout; returns the ids of those done. */
async function waitForJobs(stack: Stack): Promise<readonly string[]> {
  const states = new Map<string, string>();
  const allDone = async () => {
    const reply = await stack.operator().get("/v1/jobs", jobsReplySchema);
    if (reply.err) return false;
    for (const job of reply.val.jobs) states.set(job.id, job.state);
    return reply.val.jobs.every((j) => j.state === "done");
  };
  await stack.waitFor(allDone, jobsTimeoutMs).catch(() => undefined);
  return [...states].filter(([, s]) => s === "done").map(([id]) => id);
}

/** Sends the load and performs the operations of the demo. */
async function runDemo(stack: Stack): Promise<void> {
  const callers = new Callers(stack.entries.map((e) => e.caller));
  const urgent = [
    callers.sendAtRate(
      { class: "fitter-signoff", path: "/?ms=60" },
      60,
      loadMs,
    ),
    callers.sendAtRate({ class: "fault-ticket", path: "/?ms=80" }, 60, loadMs),
    callers.sendAtRate(
      { class: "exchange-order", path: "/?ms=120" },
      30,
      loadMs,
    ),
  ];
  const rent = Array.from({ length: rentRunCount }, (_, i) =>
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
  const doneJobs = new Set(await waitForJobs(stack));
  checkResults(callers, await stack.readRecords(), doneJobs);
  await callers.close();
}

/** Checks what the callers received against what the endpoints ran. */
function checkResults(
  callers: Callers,
  records: Awaited<ReturnType<Stack["readRecords"]>>,
  doneJobs: ReadonlySet<string>,
): void {
  const { results } = callers;
  for (const name of ["fitter-signoff", "fault-ticket", "exchange-order"]) {
    const classResults = results.filter((r) => r.class === name);
    const answered = classResults.filter((r) =>
      r.code === 1000 && r.isOwnAnswer
    );
    const lost = classResults.filter((r) => r.code === 0);
    const onlyOnKilledEntry = lost.every((r) => r.entry === killedEntry);
    const refused = classResults.length - answered.length - lost.length;
    recordCheck(
      `${classResults.length} ${name} requests`,
      `${answered.length} answered, ${refused} refused, ${lost.length} lost ` +
        "with the killed entry",
      onlyOnKilledEntry && refused === 0,
    );
  }
  const accepted = results.filter((r) => r.code === 1001);
  const finished = accepted.filter((r) => doneJobs.has(r.jobId ?? ""));
  recordCheck(
    `${rentRunCount} rent runs, at most once`,
    `${accepted.length} accepted, ${finished.length} done`,
    accepted.length === rentRunCount && finished.length === accepted.length,
  );
  const violations = findViolations(results, records, ["rent-run"]);
  const maxRuns = Math.max(...records.map((r) => r.maxRunning));
  recordCheck(
    `kill ${killedEntry}`,
    `${violations.duplicates.length} duplicates, ` +
      `${violations.wrongAnswers.length} wrong answers, ` +
      `${violations.falseNotRun.length} refusals of requests that ran, ` +
      `${violations.mixedPools.length} hosts with mixed pools, ` +
      `at most ${maxRuns} runs on a host`,
    countViolations(violations) === 0 && maxRuns <= 8,
  );
}

async function main(): Promise<number> {
  const startedAt = performance.now();
  const stack = await Stack.start(deployments.hinokuni);
  try {
    await runDemo(stack);
  } finally {
    await stack.stop();
  }
  const width = Math.max(...checks.map((c) => c.action.length));
  for (const { action, result, passed } of checks) {
    const verdict = passed ? "passed" : "FAILED";
    process.stdout.write(`${verdict}  ${action.padEnd(width)}  ${result}\n`);
  }
  const seconds = (performance.now() - startedAt) / 1000;
  process.stdout.write(`${seconds.toFixed(1)} s\n`);
  return checks.every((c) => c.passed) ? 0 : 1;
}

main().then((code) => process.exit(code), (err) => {
  process.stderr.write(`${err instanceof Error ? err.stack : err}\n`);
  process.exit(1);
});
