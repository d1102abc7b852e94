/** One play: stand-ins in this process, entries as processes of their own. */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { seededRandom } from "../fakes/random.ts";
import { finishMs, idleMs } from "./bounds.ts";
import { Callers } from "./callers.ts";
import { CloudStandIn } from "./cloud.ts";
import { drawOutages, drawPlay, type PlayPlan, trafficMs } from "./draw.ts";
import { type EntryCommand, EntryProcess } from "./entry_process.ts";
import { Faults } from "./faults.ts";
import type { Finding } from "./finding.ts";
import { judgePlay } from "./judge.ts";
import { IdleJudge } from "./judge_idle.ts";
import { pause, PlayClock } from "./pause.ts";
import type { SoakOptions } from "./options.ts";
import { PlayRecord } from "./play_record.ts";
import { entryCount, operatorConfig, planHosts, zones } from "./site.ts";
import { StoreStandIn } from "./store.ts";
import { findLogLines, traceFinding } from "./trace.ts";
import { PlannedWork } from "./work.ts";

/** Time in which all entries have to be ready, in ms. */
const readyTimeoutMs = 15_000;

/** Interval between two checks for readiness, in ms. */
const readyPollMs = 100;

/** Time in which the entries take over the pools, in ms. */
const settleMs = 2_500;

/** Time that the play goes on after the judged span, in ms. */
const marginMs = 300;

/** Time until an entry that has ended by itself is started again, in ms. */
const ownEndRestartMs = 300;

/** What a play has shown. */
export interface PlayResult {
  readonly seed: number;
  readonly findings: readonly Finding[];
  /** Traces of the findings, a line each. */
  readonly trace: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  readonly runs: number;
  /** Jobs that had nothing running for longer than `idleMs` at any time. */
  readonly longWaits: number;
  /** The longest such time, in ms. */
  readonly longestWaitMs: number;
  /** Calls that the store refused because there were too many. */
  readonly refusedCalls: number;
}

/**
 * The loopback address of an entry. Each play has a network of its own, so that
 * the port of the metrics, which is fixed, is free.
 */
function loopbackAddress(entry: number): string {
  const high = 64 + Math.floor(process.pid / 256) % 128;
  const low = process.pid % 256;
  return `127.${high}.${low}.${entry + 1}`;
}

/** Plays one seed. */
export class Play {
  readonly #clock = new PlayClock();
  readonly #record = new PlayRecord();
  readonly #store = new StoreStandIn();
  readonly #plan: PlayPlan;
  readonly #cloud: CloudStandIn;
  readonly #dir = mkdtempSync(join(tmpdir(), "briartide-soak-"));
  readonly #entries: EntryProcess[] = [];
  readonly #ownEnds: Finding[] = [];
  #callers: Callers | undefined;
  #isOver = false;

  constructor(
    private readonly seed: number,
    private readonly options: SoakOptions,
    private readonly command: EntryCommand,
    private readonly tell: (line: string) => void,
  ) {
    this.#plan = drawPlay(seed);
    const work = new PlannedWork(this.#plan.jobs);
    this.#cloud = new CloudStandIn({
      clock: this.#clock,
      record: this.#record,
      findWork: (task, run) => work.find(task, run),
      store: this.#store,
      random: seededRandom(seed + 1),
    });
  }

  /** Plays; throws if the entries do not become ready. */
  async run(): Promise<PlayResult> {
    await this.#start();
    for (const entry of this.#entries) entry.throttle();
    const startAt = this.#clock.now;
    const callers = this.#openCallers();
    const sending = callers.play(this.#plan, startAt);
    const faults = new Faults({
      clock: this.#clock,
      record: this.#record,
      store: this.#store,
      cloud: this.#cloud,
      entries: this.#entries,
      tell: (line) => this.#tell(line),
    });
    const { rounds, killAllAt } = this.#plan;
    const faulting = rounds.map((round) => faults.play(round, startAt));
    if (killAllAt !== undefined) {
      faulting.push(faults.killAll(startAt + killAllAt));
    }
    if (this.options.hasOutages) {
      const { outages, wave } = drawOutages(this.seed);
      faulting.push(faults.requestWave(wave, startAt));
      faulting.push(...outages.map((each) => faults.takeDown(each, startAt)));
    }
    await this.#clock.until(startAt + trafficMs);
    await Promise.all(faulting);
    this.#tell("the traffic ends");
    await this.#clock.until(startAt + trafficMs + finishMs);
    this.#record.finishAt = this.#clock.now;
    await Promise.all([callers.askForAll(), pause(idleMs + marginMs)]);
    this.#record.endAt = this.#clock.now;
    await callers.close();
    await sending;
    return this.#judge();
  }

  /** Ends all processes and stand-ins. */
  async stop(): Promise<void> {
    this.#isOver = true;
    for (const entry of this.#entries) entry.unthrottle();
    await Promise.all(this.#entries.map((entry) => entry.kill()));
    await this.#callers?.close();
    this.#cloud.close();
    this.#store.close();
    this.#removeFiles();
  }

  /** Ends all processes at once, before this one ends. */
  abandon(): void {
    this.#isOver = true;
    for (const entry of this.#entries) entry.killNow();
    this.#removeFiles();
  }

  /** Removes the entries' settings and logs, unless they are to stay. */
  #removeFiles(): void {
    if (this.options.keepsLogs) this.#tell(`the logs are in ${this.#dir}`);
    else rmSync(this.#dir, { recursive: true, force: true });
  }

  /** Starts the stand-ins and the entries; resolves when all are ready. */
  async #start(): Promise<void> {
    const storeAddress = await this.#store.listen();
    const cloudAddress = await this.#cloud.listen();
    this.#store.put("op", "config", operatorConfig());
    await this.#cloud.start(planHosts());
    for (let i = 0; i < entryCount; i++) {
      const zone = zones[i % zones.length];
      const name = `front-${zone}-${i + 1}`;
      const ip = loopbackAddress(i);
      const plan = { name, zone, ip, storeAddress, cloudAddress };
      const entry = new EntryProcess(
        plan,
        this.command,
        this.#dir,
        this.options.coreShare,
        (who, how) => this.#noteOwnEnd(who, how),
      );
      this.#entries.push(entry);
      entry.start();
    }
    await this.#untilReady();
    await pause(settleMs);
  }

  async #untilReady(): Promise<void> {
    const deadline = this.#clock.now + readyTimeoutMs;
    for (const entry of this.#entries) {
      while (!await entry.isReady()) {
        if (this.#isOver) throw new Error("the play was stopped");
        if (this.#clock.now > deadline) {
          throw new Error(`${entry.plan.name} is not ready`);
        }
        await pause(readyPollMs);
      }
    }
    this.#tell("all entries are ready");
  }

  #openCallers(): Callers {
    this.#callers = new Callers({
      clock: this.#clock,
      record: this.#record,
      entries: this.#entries,
      random: seededRandom(this.seed + 2),
    });
    return this.#callers;
  }

  /** Notes that an entry has ended by itself, and starts it again. */
  async #noteOwnEnd(name: string, how: string): Promise<void> {
    if (this.#isOver) return;
    this.#tell(`${name} has ended by itself: ${how}`);
    this.#ownEnds.push({
      rule: "FAULT",
      part: "own end",
      job: name,
      at: this.#clock.now,
      text: `${name} has ended by itself: ${how}`,
    });
    await pause(ownEndRestartMs);
    const entry = this.#entries.find(({ plan }) => plan.name === name);
    if (!this.#isOver) entry?.start();
  }

  #judge(): PlayResult {
    const record = this.#record;
    const findings = [...judgePlay(record), ...this.#ownEnds];
    const trace = findings.flatMap((finding) =>
      traceFinding(
        this.seed,
        finding,
        record,
        findLogLines(this.#entries, finding),
      )
    );
    const waits = new IdleJudge(record).longestWaits();
    const jobs = [...record.jobs.values()];
    const accepted = jobs.filter(({ acceptedAt }) => acceptedAt !== undefined);
    return {
      seed: this.seed,
      findings,
      trace,
      jobs: jobs.length,
      accepted: accepted.length,
      runs: record.runs.length,
      longWaits: waits.filter((ms) => ms >= idleMs).length,
      longestWaitMs: Math.round(Math.max(0, ...waits)),
      refusedCalls: this.#store.refusedCalls,
    };
  }

  #tell(line: string): void {
    const at = (this.#clock.now / 1_000).toFixed(1);
    this.tell(`seed ${this.seed}, ${at} s: ${line}`);
  }
}
