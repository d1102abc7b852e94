/** Simulation of several entries with fake services on one virtual clock. */
import { Ok } from "ts-results";
import type { Random } from "../../src/clock/index.ts";
import { EntryCore, type Mechanisms } from "../../src/entry/index.ts";
import { codes, fail } from "../../src/errors/index.ts";
import { type CallerRequest, outcomeCode } from "../../src/pipeline/index.ts";
import type { Platform, PlatformListedHost } from "../../src/platform/index.ts";
import { maxDecisionAgeMs } from "../../src/maintenance/index.ts";
import { commitEdit, type TableRow } from "../../src/table/index.ts";
import { returnHost } from "./operator_steps.ts";
import { MemoryPlatform } from "../../fakes/memory_platform.ts";
import { FakeEndpoints } from "./fake_endpoints.ts";
import { FakeNetwork } from "./fake_network.ts";
import { type CallerResult, Oracle } from "./oracle.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";

const networkDelayMs = 1;
const lostAnswerDelayMs = 50;
const listLagMs = 300;
/** Shortest and longest time in ms for work to end after the last fault. */
const minSettleMs = 4_000;
const maxSettleMs = 240_000;
const settleStepMs = 2_000;
/** States that a job does not leave without an operator. */
const settledJobStates = new Set(["done", "cancelled", "parked", "unknown"]);

/** Zone of each entry; the entries are named `e1`, `e2` and so on. */
export const entryZones = ["a", "a", "b", "b"];
/** Names of all worker hosts. */
export const hostNames = ["h1", "h2", "h3", "h4", "h5", "h6"];
/** Names of all pools. */
export const pools = ["p1", "p2"];
/** Name of the at-most-once class. */
export const onceClass = "rent";
/** Number of hosts that must stay in service, by pool. */
export const budgets = { p1: 2, p2: 1 };

/** Timing settings of the entries, in ms. */
const timing = {
  heartbeat_ms: 100,
  silence_ms: 500,
  takeover_ms: 200,
  poll_ms: 200,
  pause_ms: 300,
  lease_ms: 1_200,
  boot_ms: 2_000,
  orphan_ms: 800,
  min_stay_ms: 500,
};

function classRow(
  name: string,
  pool: string,
  urgency: "urgent" | "patient",
  repeat: "repeatable" | "once",
): TableRow {
  const deadlineMs = urgency === "urgent" ? 600 : 0;
  return {
    kind: "class",
    name,
    pool,
    urgency,
    repeat,
    weight: 1,
    price: 1,
    rate: 0,
    concurrency: 0,
    queue: 50,
    deadlineMs,
    runMs: 1_500,
  };
}

const tableRows: readonly TableRow[] = [
  { kind: "pool", name: "p1", budget: budgets.p1, spare: false },
  { kind: "pool", name: "p2", budget: budgets.p2, spare: true },
  classRow("urgent1", "p1", "urgent", "repeatable"),
  classRow("urgent2", "p2", "urgent", "repeatable"),
  classRow(onceClass, "p1", "patient", "once"),
  classRow("batch", "p2", "patient", "repeatable"),
];

/** A simulated process that runs an entry. */
export interface EntryProcess {
  readonly name: string;
  readonly zone: string;
  readonly clock: ProcessClock;
  readonly core: EntryCore;
  readonly incarnation: string;
}

/** Entries, platform, endpoints, network and oracle of one simulation. */
export class EntrySimulation {
  readonly clock = new VirtualClock();
  readonly platform = new MemoryPlatform();
  readonly endpoints = new FakeEndpoints(this.clock);
  readonly network = new FakeNetwork(this.clock);
  readonly oracle = new Oracle();
  readonly results: CallerResult[] = [];
  /** Ids of the jobs whose submission was accepted. */
  readonly acceptedJobs: string[] = [];
  /** Number of occurrences of each step, fault and result. */
  readonly eventCounts = new Map<string, number>();
  readonly processes = new Map<string, EntryProcess>();
  #startCount = 0;
  #requestCount = 0;
  #openRequests = 0;
  #operationCount = 0;
  #isolated = new Set<string>();
  /** Virtual time in ms at which each host returned to the list. */
  #listedAt = new Map<string, number>();
  /** Virtual time in ms at which each unlisted host left the list. */
  #unlistedAt = new Map<string, number>();

  constructor(
    private readonly random: Random,
    readonly mechanisms: Mechanisms,
  ) {
    for (const [i, name] of hostNames.entries()) {
      this.platform.hosts.set(name, this.#makeListedHost(name, i));
    }
    entryZones.forEach((zone, i) => {
      const name = `e${i + 1}`;
      const entry = {
        ...this.#makeListedHost(name, i),
        zone,
        role: "entry" as const,
      };
      this.platform.hosts.set(name, entry);
    });
    this.platform.onReboot = (host) => {
      this.countEvent("reboot");
      this.endpoints.reboot(host);
    };
  }

  /** Commits the table, starts every entry, and waits until they own hosts. */
  async start(): Promise<void> {
    const changes = tableRows.map((row) => ({
      key: `${row.kind}/${row.name}`,
      base: 0,
      row,
    }));
    const ctx = { who: "test", at: 0, operation: "first-edit" };
    await commitEdit(this.platform, { changes }, ctx);
    entryZones.forEach((_, i) => this.startEntry(`e${i + 1}`));
    await this.clock.advance(3_000);
  }

  /** Counts one occurrence of an event. */
  countEvent(event: string): void {
    this.eventCounts.set(event, (this.eventCounts.get(event) ?? 0) + 1);
  }

  /** Returns a new operation id for a transaction of an operator. */
  nextOperationId(): string {
    this.#operationCount++;
    return `operator-${this.#operationCount}`;
  }

  /** Starts the process of an entry, unless it is running. */
  startEntry(name: string): void {
    if (this.processes.has(name)) return;
    const zone = entryZones[Number(name.slice(1)) - 1];
    const clock = new ProcessClock(this.clock);
    const incarnation = `${name}.${++this.#startCount}`;
    const core = new EntryCore({
      self: { entry: name, incarnation, zone, peer: name },
      token: "",
      seeds: [],
      platform: this.#platformFor(clock, name, zone),
      endpoints: this.endpoints.clientFor(clock),
      createNetwork: (hello, events) => this.network.open(hello, events, clock),
      clock,
      random: this.random,
      timing,
      listLagMs,
      movesEnabled: true,
      mechanisms: this.mechanisms,
      events: {
        info: () => {},
        warn: (message) => this.countEvent(message),
        onActorFailed: (actor, err) => {
          if (!clock.isDead) this.oracle.violations.push(`${actor}: ${err}`);
        },
        onBadFrame: () => {},
      },
    });
    this.processes.set(name, { name, zone, clock, core, incarnation });
    core.start();
  }

  /** Kills the process of an entry without a shutdown. */
  kill(name: string): void {
    const process = this.processes.get(name);
    if (process === undefined) return;
    process.clock.kill();
    process.core.stop();
    this.network.disconnectKilled(name);
    this.processes.delete(name);
  }

  /** Sends one request to an entry; the class decides if it becomes a job. */
  send(entry: string, className: string, runMs: number, key?: string): void {
    const process = this.processes.get(entry);
    const row = process?.core.table.class(className);
    if (process === undefined || row === undefined) return;
    const requestId = `mark-${++this.#requestCount}`;
    const abortController = new AbortController();
    const now = this.clock.now();
    const req: CallerRequest = {
      id: requestId,
      class: row,
      tableVersion: process.core.table.version,
      method: "POST",
      path: `/?ms=${runMs}`,
      headers: {},
      body: new TextEncoder().encode(key ?? requestId),
      startBy: row.deadlineMs === 0 ? undefined : now + row.deadlineMs,
      key,
      signal: abortController.signal,
    };
    if (row.repeat === "once" || className === "batch") {
      this.#submit(process, req);
    } else {
      this.#execute(process, req, abortController);
    }
  }

  /** Ends all faults, waits for the work to end, and makes the final checks. */
  async settle(): Promise<void> {
    this.platform.faults.down = false;
    this.platform.faults.loseAnswers = 0;
    this.platform.faults.cutZones = [];
    this.network.restoreAll();
    this.#isolated.clear();
    this.endpoints.unhealthy.clear();
    this.endpoints.failingReboot.clear();
    for (const name of this.platform.hosts.keys()) this.setState(name, "live");
    this.endpoints.blackHoles.clear();
    this.endpoints.losingAnswers.clear();
    for (const { clock } of this.processes.values()) clock.resume();
    for (const [i] of entryZones.entries()) this.startEntry(`e${i + 1}`);
    await this.clock.advance(minSettleMs);
    const deadline = this.clock.now() + maxSettleMs;
    while (!this.#isSettled() && this.clock.now() < deadline) {
      for (const name of hostNames) await returnHost(this, name);
      await this.clock.advance(settleStepMs);
    }
    this.#checkTableVersions();
    if (this.#openRequests > 0) {
      this.oracle.violations.push(`${this.#openRequests} requests never ended`);
    }
    this.#checkJobs();
    this.oracle.checkRuns(this.endpoints.runs, this.results, onceClass);
    for (const name of [...this.processes.keys()]) this.kill(name);
  }

  /** Advances the time by `ms` and checks the table versions. */
  async advance(ms: number): Promise<void> {
    await this.clock.advance(ms);
    this.#checkTableVersions();
  }

  #checkTableVersions(): void {
    for (const { incarnation, core } of this.processes.values()) {
      this.oracle.checkTableVersion(incarnation, core.table.version);
    }
  }

  #isSettled(): boolean {
    const jobStates = this.#jobStates();
    return this.#openRequests === 0 &&
      this.acceptedJobs.every((id) =>
        settledJobStates.has(jobStates.get(id) ?? "lost")
      );
  }

  #jobStates(): ReadonlyMap<string, string> {
    const states = new Map<string, string>();
    for (const row of this.platform.rows.values()) {
      if (!row.key.startsWith("job/")) continue;
      const job = row.value as { id: string; state: string };
      states.set(job.id, job.state);
    }
    return states;
  }

  /** Checks that no accepted job is lost or unfinished. */
  #checkJobs(): void {
    const states = this.#jobStates();
    for (const state of states.values()) this.countEvent(`job ${state}`);
    for (const id of this.acceptedJobs) {
      const state = states.get(id) ?? "lost";
      if (!settledJobStates.has(state)) {
        this.oracle.violations.push(`accepted job ${id} is ${state}`);
      }
    }
  }

  /** Executes a request and checks its result, unless the process dies. */
  async #execute(
    process: EntryProcess,
    req: CallerRequest,
    abortController: AbortController,
  ): Promise<void> {
    this.#openRequests++;
    const died = new Promise<"died">((resolve) => {
      const poll = () => {
        if (process.clock.isDead) resolve("died");
        else this.clock.after(100, poll);
      };
      this.clock.after(100, poll);
    });
    const result = await Promise.race([
      process.core.executor.execute(req),
      died,
    ]);
    this.#openRequests--;
    if (result === "died") return abortController.abort();
    const { outcome } = result;
    const code = outcomeCode(outcome);
    this.countEvent(`request ${code.name}`);
    const answer = outcome.kind === "answer"
      ? new TextDecoder().decode(outcome.body as Uint8Array)
      : "";
    const callerResult = {
      id: req.id,
      code: code.code,
      run: code.run,
      answer,
    };
    this.results.push(callerResult);
    this.oracle.checkResult(callerResult);
  }

  /** Submits a request as a job. */
  async #submit(process: EntryProcess, req: CallerRequest): Promise<void> {
    const job = await process.core.jobs.submit(req);
    if (process.clock.isDead) return;
    if (job.ok) this.acceptedJobs.push(job.val.value.id);
    this.countEvent(job.ok ? "job accepted" : `job ${job.val.code.name}`);
  }

  /** Returns the platform as one process sees it: with delays and faults. */
  #platformFor(process: ProcessClock, name: string, zone: string): Platform {
    const { platform } = this;
    const callRemote = <T>(f: () => T): Promise<T> =>
      process.deliver(
        new Promise((resolve) => {
          this.clock.after(networkDelayMs, () => {
            const result = f();
            this.clock.after(networkDelayMs, () => resolve(result));
          });
        }),
      );
    const isCutOff = () =>
      platform.faults.cutZones.includes(zone) || this.#isolated.has(name);
    const failCutOff = () => fail(codes.platformDown, "cut off");
    return {
      table: {
        read: (query) =>
          callRemote(() => isCutOff() ? failCutOff() : platform.read(query)),
        commit: async (tx) => {
          const outcome = await callRemote(() => {
            if (isCutOff()) return failCutOff();
            const before = new Map(platform.rows);
            const applied = platform.commit(tx);
            this.checkCommit(tx, before);
            return applied;
          });
          if (outcome.err && outcome.val.code === codes.commitUnknown) {
            this.countEvent("lost answer");
            await callRemote(() => {});
            await new Promise<void>((r) => process.after(lostAnswerDelayMs, r));
          }
          return outcome;
        },
      },
      objects: platform.objects,
      listHosts: () =>
        callRemote(() =>
          isCutOff() || platform.faults.down
            ? failCutOff()
            : Ok([...platform.hosts.values()])
        ),
      reboot: (host, operation) =>
        process.deliver(platform.reboot(host, operation)),
    };
  }

  /** Cuts an entry off from its peers and the platform, but not from hosts. */
  isolate(name: string, on: boolean): void {
    if (on) this.#isolated.add(name);
    else this.#isolated.delete(name);
    entryZones.forEach((_, i) => {
      if (`e${i + 1}` !== name) this.network.setCut(name, `e${i + 1}`, on);
    });
  }

  /** Changes a host's state in the platform's list. */
  setState(name: string, state: PlatformListedHost["state"]): void {
    const listed = this.platform.hosts.get(name);
    if (listed === undefined || listed.state === state) return;
    this.platform.hosts.set(name, { ...listed, state });
    if (state === "live") {
      this.#unlistedAt.delete(name);
      this.#listedAt.set(name, this.clock.now());
    }
    if (state !== "live") this.#unlistedAt.set(name, this.clock.now());
  }

  /**
   * Returns the hosts that are unlisted, or have returned to the list within the
   * last `maxDecisionAgeMs`.
   */
  #recentlyUnlisted(): string[] {
    const earliest = this.clock.now() - maxDecisionAgeMs;
    const back = [...this.#listedAt].filter(([, at]) => at >= earliest);
    return [...this.#unlistedAt.keys(), ...back.map(([name]) => name)];
  }

  /** Returns the hosts that have been unlisted for at least `ms`. */
  #unlistedBefore(ms: number): string[] {
    const latest = this.clock.now() - ms;
    return [...this.#unlistedAt].filter(([, at]) => at <= latest)
      .map(([name]) => name);
  }

  /** Lets the oracle check a commit that changed a host. */
  checkCommit(
    tx: Parameters<MemoryPlatform["commit"]>[0],
    before: ReadonlyMap<
      string,
      { key: string; version: number; value: unknown }
    >,
  ): void {
    const changesHost = tx.writes.some(({ key }) =>
      key.startsWith("host/") &&
      before.get(key)?.version !== this.platform.rows.get(key)?.version
    );
    if (!changesHost) return;
    const unavailable = new Set(this.endpoints.unhealthy);
    const exempt = new Set([...this.#recentlyUnlisted(), ...unavailable]);
    for (const name of this.#unlistedBefore(maxDecisionAgeMs)) {
      unavailable.add(name);
    }
    this.oracle.checkCommit(tx, before, budgets, unavailable, exempt);
  }

  #makeListedHost(name: string, index: number): PlatformListedHost {
    return {
      name,
      role: "worker",
      state: "live",
      zone: index % 2 === 0 ? "a" : "b",
      rack: `r${index}`,
      address: `http://${name}`,
      pool: index < 3 ? "p1" : "p2",
      slots: 2,
      connections: 16,
    };
  }
}
