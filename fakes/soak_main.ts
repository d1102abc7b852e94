/**
 * `npm run soak -- --seed S --minutes M`: a deployment under load while
 * faults come and go. The last line is one JSON object.
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
import { judge } from "./evidence.ts";
import { seededRandom } from "./random.ts";
import { Stack } from "./stack.ts";
import { editClass } from "./table_edit.ts";

const minuteMs = 60_000;
const faultMs = 4_000;
/** Longer than every lease and silence limit of the stack. */
const freezeMs = 6_000;
const calmMs = 3_000;
const watchMs = 200;
const jobsLimitMs = 60_000;
const budgets: Readonly<Record<string, number>> = {
  "fitters": 6,
  "fault-desk": 6,
  "battery-exchange": 6,
  "billing": 6,
  "office-admin": 2,
};

interface HostRow {
  readonly value: { readonly pool: string; readonly state: string };
}

/** Watches budgets and versions while the soak runs. */
class Watch {
  budgetBreaches = 0;
  reverts = 0;
  #versions = new Map<string, number>();
  #stopped = false;

  constructor(private readonly stack: Stack) {}

  async run(): Promise<void> {
    while (!this.#stopped) {
      await this.#budgets();
      await this.#inForce();
      await sleep(watchMs);
    }
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Forgets the version of an entry that is started anew. */
  restarted(id: string): void {
    this.#versions.delete(id);
  }

  async #budgets(): Promise<void> {
    const address = this.stack.platform;
    const reply = await this.stack.control(address, "rows?prefix=host/");
    const rows = (reply as { rows: HostRow[] }).rows;
    for (const [pool, budget] of Object.entries(budgets)) {
      const serving = rows.filter((r) =>
        r.value.pool === pool && r.value.state === "serving"
      ).length;
      if (serving < budget) this.budgetBreaches++;
    }
  }

  async #inForce(): Promise<void> {
    await Promise.all(this.stack.entries.map(async ({ id }, i) => {
      const reply = Promise.race([
        this.stack.operator(i).get("/v1/status", statusReplySchema),
        sleep(watchMs).then(() => undefined),
      ]);
      const status = await reply;
      if (status === undefined || status.err) return;
      const known = this.#versions.get(id) ?? 0;
      const version = status.val.tableVersion;
      if (version < known) this.reverts++;
      this.#versions.set(id, Math.max(known, version));
    }));
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** The faults and changes that come and go; each heals itself. */
function makeFaults(stack: Stack, watch: Watch, random: () => number) {
  const pick = <T>(list: readonly T[]) =>
    list[Math.floor(random() * list.length)];
  const entry = () => pick(stack.entries.slice(2)).id;
  const platform = (faults: object) =>
    stack.control(stack.platform, "faults", faults);
  return {
    kill: async () => {
      const id = entry();
      stack.signal(id, "SIGKILL");
      await stack.ended(id);
      await sleep(faultMs);
      watch.restarted(id);
      stack.startEntry(id);
    },
    freeze: async () => {
      const id = entry();
      stack.signal(id, "SIGSTOP");
      await sleep(freezeMs);
      stack.signal(id, "SIGCONT");
    },
    silentLink: async () => {
      const [a, b] = [entry(), entry()];
      const link = (x: { id: string }, y: { id: string }) =>
        x.id === a && y.id === b;
      stack.cutLinks("silent", link);
      await sleep(faultMs);
      stack.cutLinks("pass", link);
    },
    platformDown: async () => {
      await platform({ down: true });
      await sleep(faultMs);
      await platform({ down: false });
    },
    lostAnswers: () => platform({ loseAnswers: 5 }),
    zoneCut: async () => {
      await stack.cutZone("oita", true);
      await sleep(faultMs);
      await stack.cutZone("oita", false);
    },
    drain: async () => {
      const host = pick(Object.keys(stack.endpoints));
      const path = `/v1/hosts/${host}`;
      await stack.operator().post(`${path}/drain`, hostReplySchema);
      await sleep(faultMs);
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
  const watch = new Watch(stack);
  const watching = watch.run();
  const soakMs = Number(values.minutes) * minuteMs;
  const endAt = Date.now() + soakMs;
  const load = [
    callers.stream({ class: "fitter-signoff", path: "/?ms=60" }, 40, soakMs),
    callers.stream({ class: "fault-ticket", path: "/?ms=120" }, 40, soakMs),
  ];
  const faults = makeFaults(stack, watch, random);
  const names = Object.keys(faults) as (keyof typeof faults)[];
  const met: Record<string, number> = {};
  let longestForceMs = 0;
  let editsRefused = 0;
  for (let round = 0; Date.now() < endAt - freezeMs; round++) {
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
    met[name] = (met[name] ?? 0) + 1;
    const fault = faults[name]();
    const change = { price: round };
    const edit = await editClass(stack.operator(1), "rent-run", change);
    if (edit.err) editsRefused++;
    else longestForceMs = Math.max(longestForceMs, edit.val.sinceAcceptMs);
    await fault;
    await sleep(calmMs * random());
  }
  await Promise.all(load);
  await callers.settled();
  const states: Record<string, number> = {};
  const jobs = new Map<string, string>();
  await stack.waitFor(async () => {
    const reply = await stack.operator().get("/v1/jobs", jobsReplySchema);
    if (reply.err) return false;
    for (const job of reply.val.jobs) jobs.set(job.id, job.state);
    return reply.val.jobs.every((j) =>
      j.state !== "claimed" && j.state !== "started"
    );
  }, jobsLimitMs).catch(() => undefined);
  for (const state of jobs.values()) states[state] = (states[state] ?? 0) + 1;
  watch.stop();
  await watching;
  const records = await stack.records();
  const findings = judge(callers.ends, records, ["rent-run"]);
  const ends: Record<string, number> = {};
  for (const { code } of callers.ends) ends[code] = (ends[code] ?? 0) + 1;
  const accepted = callers.ends.filter((e) => e.code === 1001);
  const lost = accepted.filter((e) => !jobs.has(e.jobId ?? "")).length;
  await callers.close();
  await stack.stop();
  const report = {
    seed: Number(values.seed),
    minutes: Number(values.minutes),
    faults: met,
    requests: callers.ends.length,
    ends,
    jobs: states,
    duplicates: findings.duplicates.length,
    losses: lost,
    wrongAnswers: findings.wrongAnswers.length,
    falseNotRun: findings.falseNotRun.length,
    mixedPools: findings.mixedPools.length,
    budgetBreaches: watch.budgetBreaches,
    reverts: watch.reverts,
    longestForceMs: Math.round(longestForceMs),
    editsRefused,
    mostRunsOnAHost: Math.max(...records.map((r) => r.maxRunning)),
    mostConnections: Math.max(...records.map((r) => r.maxConnections)),
  };
  process.stdout.write(`${JSON.stringify(report)}\n`);
  const broken = report.duplicates + report.losses + report.wrongAnswers +
    report.falseNotRun + report.mixedPools + report.budgetBreaches +
    report.reverts + (jobs.size - (states.done ?? 0) - (states.unknown ?? 0));
  return broken === 0 ? 0 : 1;
}

main().then((code) => process.exit(code));
