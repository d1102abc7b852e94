/**
 * `npm run soak -- --seed S --minutes M`: runs a deployment under load and
 * injects random faults. The last line of output is a report as JSON; the exit
 * code is 0 only if no guarantee was violated and every job is done or unknown.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import {
  hostReplySchema,
  jobsReplySchema,
  statusReplySchema,
} from "../src/operator/index.ts";
import { Callers } from "./caller.ts";
import { deployments } from "./deployment.ts";
import { findViolations } from "./violations.ts";
import { seededRandom } from "./random.ts";
import { Stack } from "./stack.ts";
import { editClass } from "./table_edit.ts";

const minuteMs = 60_000;
const faultDurationMs = 4_000;
/** Exceeds all lease and silence timeouts of the stack. */
const freezeDurationMs = 6_000;
const maxFaultPauseMs = 3_000;
const checkIntervalMs = 200;
const jobsTimeoutMs = 60_000;
/** Budget of each pool: the minimum number of hosts that must serve. */
const budgets: Readonly<Record<string, number>> = {
  "fitters": 6,
  "fault-desk": 6,
  "battery-exchange": 6,
  "billing": 6,
  "office-admin": 2,
};

/** The fields of a host row that the soak test reads. */
interface HostRow {
  readonly value: { readonly pool: string; readonly state: string };
}

/**
 * Checks at intervals that each pool keeps its budget and that no entry returns
 * to an older table version.
 */
class InvariantMonitor {
  /** Checks that found a pool below its budget. */
  budgetBreachCount = 0;
  /** Checks that found an entry with an older table version. */
  revertCount = 0;
  #lastVersions = new Map<string, number>();
  #stopped = false;

  constructor(private readonly stack: Stack) {}

  /** Checks until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      await this.#checkBudgets();
      await this.#checkVersions();
      await sleep(checkIntervalMs);
    }
  }

  /** Ends `run` after the current check. */
  stop(): void {
    this.#stopped = true;
  }

  /** Forgets the version of an entry that is about to restart. */
  forgetVersion(id: string): void {
    this.#lastVersions.delete(id);
  }

  /** Counts the pools with fewer serving hosts than their budget. */
  async #checkBudgets(): Promise<void> {
    const address = this.stack.platform;
    const reply = await this.stack.callControl(address, "rows?prefix=host/");
    const rows = (reply as { rows: HostRow[] }).rows;
    for (const [pool, budget] of Object.entries(budgets)) {
      const serving = rows.filter((r) =>
        r.value.pool === pool && r.value.state === "serving"
      ).length;
      if (serving < budget) this.budgetBreachCount++;
    }
  }

  /** Counts the entries whose table version is lower than before. */
  async #checkVersions(): Promise<void> {
    await Promise.all(this.stack.entries.map(async ({ id }, i) => {
      const reply = Promise.race([
        this.stack.operator(i).get("/v1/status", statusReplySchema),
        sleep(checkIntervalMs).then(() => undefined),
      ]);
      const status = await reply;
      if (status === undefined || status.err) return;
      const lastVersion = this.#lastVersions.get(id) ?? 0;
      const version = status.val.tableVersion;
      if (version < lastVersion) this.revertCount++;
      this.#lastVersions.set(id, Math.max(lastVersion, version));
    }));
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Returns the faults and changes to inject by name. Each reverts itself. */
function makeFaults(
  stack: Stack,
  monitor: InvariantMonitor,
  random: () => number,
) {
  const pick = <T>(list: readonly T[]) =>
    list[Math.floor(random() * list.length)];
  const pickEntry = () => pick(stack.entries.slice(2)).id;
  const setPlatformFaults = (faults: object) =>
    stack.callControl(stack.platform, "faults", faults);
  return {
    kill: async () => {
      const id = pickEntry();
      stack.signal(id, "SIGKILL");
      await stack.waitForExit(id);
      await sleep(faultDurationMs);
      monitor.forgetVersion(id);
      stack.startEntry(id);
    },
    freeze: async () => {
      const id = pickEntry();
      stack.signal(id, "SIGSTOP");
      await sleep(freezeDurationMs);
      stack.signal(id, "SIGCONT");
    },
    silentLink: async () => {
      const [a, b] = [pickEntry(), pickEntry()];
      const isCutLink = (x: { id: string }, y: { id: string }) =>
        x.id === a && y.id === b;
      stack.setLinkMode("silent", isCutLink);
      await sleep(faultDurationMs);
      stack.setLinkMode("pass", isCutLink);
    },
    platformDown: async () => {
      await setPlatformFaults({ down: true });
      await sleep(faultDurationMs);
      await setPlatformFaults({ down: false });
    },
    lostAnswers: () => setPlatformFaults({ loseAnswers: 5 }),
    zoneCut: async () => {
      await stack.setZoneCut("oita", true);
      await sleep(faultDurationMs);
      await stack.setZoneCut("oita", false);
    },
    drain: async () => {
      const host = pick(Object.keys(stack.endpoints));
      const path = `/v1/hosts/${host}`;
      await stack.operator().post(`${path}/drain`, hostReplySchema);
      await sleep(faultDurationMs);
      await stack.operator().post(`${path}/return`, hostReplySchema);
    },
  };
}

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      minutes: { type: "string", default: "1" },
    },
  });
  const random = seededRandom(Number(values.seed));
  const stack = await Stack.start(deployments.hinokuni, { moves: false });
  const callers = new Callers(stack.entries.map((e) => e.caller));
  const monitor = new InvariantMonitor(stack);
  const monitoring = monitor.run();
  const soakMs = Number(values.minutes) * minuteMs;
  const endAt = Date.now() + soakMs;
  const load = [
    callers.sendAtRate(
      { class: "fitter-signoff", path: "/?ms=60" },
      40,
      soakMs,
    ),
    callers.sendAtRate({ class: "fault-ticket", path: "/?ms=120" }, 40, soakMs),
  ];
  const faults = makeFaults(stack, monitor, random);
  const names = Object.keys(faults) as (keyof typeof faults)[];
  const faultCounts: Record<string, number> = {};
  let longestForceMs = 0;
  let editsRefused = 0;
  for (let round = 0; Date.now() < endAt - freezeDurationMs; round++) {
    for (let i = 0; i < 10; i++) {
      callers.send({
        class: "rent-run",
        path: "/?ms=800",
        headers: {
          "idempotency-key": `rent-${round}-${i}`,
          prefer: "respond-async",
        },
      });
    }
    const name = names[Math.floor(random() * names.length)];
    faultCounts[name] = (faultCounts[name] ?? 0) + 1;
    const fault = faults[name]();
    const change = { price: round };
    const edit = await editClass(stack.operator(1), "rent-run", change);
    if (edit.err) editsRefused++;
    else longestForceMs = Math.max(longestForceMs, edit.val.acceptToConfirmMs);
    await fault;
    await sleep(maxFaultPauseMs * random());
  }
  await Promise.all(load);
  await callers.waitForPending();
  const counts: Record<string, number> = {};
  const jobs = new Map<string, string>();
  await stack.waitFor(async () => {
    const reply = await stack.operator().get("/v1/jobs", jobsReplySchema);
    if (reply.err) return false;
    for (const job of reply.val.jobs) jobs.set(job.id, job.state);
    return reply.val.jobs.every((j) =>
      j.state !== "claimed" && j.state !== "started"
    );
  }, jobsTimeoutMs).catch(() => undefined);
  for (const state of jobs.values()) counts[state] = (counts[state] ?? 0) + 1;
  monitor.stop();
  await monitoring;
  const records = await stack.readRecords();
  const violations = findViolations(callers.results, records, ["rent-run"]);
  const codes: Record<string, number> = {};
  for (const { code } of callers.results) codes[code] = (codes[code] ?? 0) + 1;
  const accepted = callers.results.filter((r) => r.code === 1001);
  const lostJobs = accepted.filter((r) => !jobs.has(r.jobId ?? "")).length;
  await callers.close();
  await stack.stop();
  const report = {
    seed: Number(values.seed),
    minutes: Number(values.minutes),
    faults: faultCounts,
    requests: callers.results.length,
    ends: codes,
    jobs: counts,
    duplicates: violations.duplicates.length,
    losses: lostJobs,
    wrongAnswers: violations.wrongAnswers.length,
    falseNotRun: violations.falseNotRun.length,
    mixedPools: violations.mixedPools.length,
    budgetBreaches: monitor.budgetBreachCount,
    reverts: monitor.revertCount,
    longestForceMs: Math.round(longestForceMs),
    editsRefused,
    mostRunsOnAHost: Math.max(...records.map((r) => r.maxRunning)),
    mostConnections: Math.max(...records.map((r) => r.maxConnections)),
  };
  process.stdout.write(`${JSON.stringify(report)}\n`);
  const violationCount = report.duplicates + report.losses +
    report.wrongAnswers +
    report.falseNotRun + report.mixedPools + report.budgetBreaches +
    report.reverts +
    (jobs.size - (counts.done ?? 0) - (counts.unknown ?? 0));
  return violationCount === 0 ? 0 : 1;
}

main().then((code) => process.exit(code));
