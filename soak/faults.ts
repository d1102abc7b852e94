/** Carries out the drawn rounds of faults. */
import * as v from "valibot";
import { seededRandom } from "../fakes/random.ts";
import { hash32 } from "../src/hash.ts";
import { ownerTable } from "../src/cluster/index.ts";
import { parseJson } from "../src/store/index.ts";
import type { CloudStandIn } from "./cloud.ts";
import type {
  FaultRound,
  PlannedKill,
  PlannedWave,
  StoreOutage,
} from "./draw.ts";
import type { Endpoint } from "./endpoint.ts";
import type { EntryProcess } from "./entry_process.ts";
import { pause, type PlayClock } from "./pause.ts";
import type { Disturbance, PlayRecord } from "./play_record.ts";
import { zones } from "./site.ts";
import type { StoreStandIn } from "./store.ts";

/** Time until entries that were all killed are started again, in ms. */
const killAllRestartMs = 300;

/** Time for which a run has just begun, in ms. */
const recentMs = 300;

/** Number of the wave in a play. */
const waveNumber = 1;

/** Time that the operator gives for the wave, in s. */
const waveDurationS = 60;

/** Key of the row that tells who owns a pool. */
const ownerKey = "owner";

/** The part of an owner row that the faults need. */
const ownerSchema = v.object({ entry: v.string() });

/** What the faults use of the play. */
export interface FaultDependencies {
  readonly clock: PlayClock;
  readonly record: PlayRecord;
  readonly store: StoreStandIn;
  readonly cloud: CloudStandIn;
  readonly entries: readonly EntryProcess[];
  /** Writes a line on what happens. */
  readonly tell: (line: string) => void;
}

/** Whether a part belongs to the share that a number draws. */
function isDrawn(draw: number, part: string, share: number): boolean {
  return seededRandom(hash32(`${draw} ${part}`))() < share;
}

/** The faults of a play. */
export class Faults {
  /** Entries that are being started again. */
  readonly #down = new Set<string>();

  constructor(private readonly deps: FaultDependencies) {}

  /** Plays a round; times are counted from `startAt`, in ms of the play. */
  async play(round: FaultRound, startAt: number): Promise<void> {
    const { clock, cloud } = this.deps;
    const darkAt = startAt + round.darkAt;
    await clock.until(darkAt);
    const zone = round.zone ?? this.#busiestZone(round.pool, darkAt);
    const endpoints = cloud.endpointsIn(round.pool, zone);
    const returnAt = darkAt + round.darkMs;
    const killTimes = round.kills.map((kill) => `${kill.afterReturnMs} ms`);
    this.deps.tell(
      `${round.pool} in ${zone}: ${endpoints.length} endpoints dark ` +
        `for ${round.darkMs} ms, cut ${round.cutAfterMs} ms after the return, ` +
        `row after ${round.rowAfterMs} ms, kills after ` +
        (killTimes.join(" and ") || "none"),
    );
    await Promise.all([
      ...endpoints.map((endpoint) => this.#disturb(endpoint, round, returnAt)),
      ...round.kills.map((kill) => this.#kill(round.pool, kill, returnAt)),
    ]);
    const ids = new Set(endpoints.map(({ identity }) => identity.id));
    const begun = this.deps.record.runs.filter((run) =>
      ids.has(run.endpoint) && run.startedAt >= returnAt &&
      run.startedAt < returnAt + round.cutAfterMs + round.cutMs
    );
    this.deps.tell(
      `${round.pool} in ${zone}: ${begun.length} runs began between the ` +
        "return and the end of the cut",
    );
  }

  /** The availability zone in which most runs of a pool have just begun. */
  #busiestZone(pool: string, at: number): string {
    const { runs, jobs } = this.deps.record;
    const starts = runs.filter(({ startedAt, job }) =>
      startedAt > at - recentMs && jobs.get(job)?.pool === pool
    );
    const countIn = (zone: string) =>
      starts.filter((run) => run.zone === zone).length;
    return zones.reduce(
      (best, zone) => countIn(zone) > countIn(best) ? zone : best,
      zones[0] as string,
    );
  }

  async #disturb(
    endpoint: Endpoint,
    { rowAfterMs, cutAfterMs, cutMs }: FaultRound,
    returnAt: number,
  ): Promise<void> {
    const { clock } = this.deps;
    const dark = endpoint.crash();
    await clock.until(returnAt);
    await endpoint.revive(dark);
    void endpoint.register(rowAfterMs);
    await pause(cutAfterMs);
    endpoint.cut();
    await pause(cutMs);
    endpoint.heal();
  }

  /** Kills the entry that owns a pool, and starts it again. */
  async #kill(
    pool: string,
    { afterReturnMs, restartAfterMs }: PlannedKill,
    returnAt: number,
  ): Promise<void> {
    const { clock, entries } = this.deps;
    await clock.until(returnAt + afterReturnMs);
    const owner = this.#ownerOf(pool);
    const entry = entries.find(({ plan }) => plan.name === owner);
    if (entry === undefined) return;
    await this.#killEntry(entry, restartAfterMs);
  }

  /** Kills all entries at a time of the play, in ms, and starts them again. */
  async killAll(at: number): Promise<void> {
    await this.deps.clock.until(at);
    await Promise.all(
      this.deps.entries.map((entry) =>
        this.#killEntry(entry, killAllRestartMs)
      ),
    );
  }

  /** Takes a share of the store's parts down; times are counted from `startAt`. */
  async takeDown(outage: StoreOutage, startAt: number): Promise<void> {
    const { clock, record, store, tell } = this.deps;
    await clock.until(startAt + outage.at);
    const { share, draw } = outage;
    const disturbance: Disturbance = {
      what: "down",
      who: "store",
      from: clock.now,
    };
    record.disturbances.push(disturbance);
    store.isDown = (part) => part !== "" && isDrawn(draw, part, share);
    tell(`${Math.round(100 * share)} % of the store's parts are down`);
    await pause(outage.ms);
    store.isDown = () => false;
    disturbance.to = clock.now;
    tell("the store is whole again");
  }

  /** Requests a wave over all hosts. */
  async requestWave(
    { at, maxCount }: PlannedWave,
    startAt: number,
  ): Promise<void> {
    const { clock, cloud, store, tell } = this.deps;
    await clock.until(startAt + at);
    store.put("op", `wave/${waveNumber}`, {
      wave: waveNumber,
      machines: cloud.hostNames,
      durationS: waveDurationS,
      maxCount,
    });
    tell(`a wave over all hosts begins, ${maxCount} at once`);
  }

  async #killEntry(entry: EntryProcess, restartAfterMs: number): Promise<void> {
    const { clock, record, tell } = this.deps;
    const { name } = entry.plan;
    if (this.#down.has(name)) return;
    this.#down.add(name);
    const disturbance: Disturbance = {
      what: "kill",
      who: name,
      from: clock.now,
    };
    record.disturbances.push(disturbance);
    tell(`${name} is killed`);
    await entry.kill();
    await pause(restartAfterMs);
    entry.start();
    disturbance.to = clock.now;
    this.#down.delete(name);
  }

  /** Name of the entry that owns a pool; undefined if nobody does. */
  #ownerOf(pool: string): string | undefined {
    const text = this.deps.store.read({
      table: ownerTable,
      part: pool,
      key: ownerKey,
    });
    if (text === undefined) return undefined;
    return parseJson(ownerSchema, text)?.entry;
  }
}
