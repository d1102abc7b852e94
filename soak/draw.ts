/**
 * Draws a play from its seed: the jobs that callers send, and the rounds of
 * faults. The same seed draws the same play; how it goes also depends on the
 * time that processes and sockets take.
 */
import { seededRandom } from "../fakes/random.ts";
import { maxDownShare, maxOutageMs } from "./bounds.ts";
import {
  busyPools,
  endingQueues,
  lastingQueues,
  type QueuePlan,
  zones,
} from "./site.ts";

/** Length of the traffic, in ms. */
export const trafficMs = 28_700;

/** Jobs a second of each queue, which take half of its pool. */
const jobsPerSecond: Readonly<Record<string, number>> = {
  "fit-check": 1.1,
  "fault-diag": 0.14,
  "rent-bill": 0.14,
};

/** Factors of that rate; with the largest one more comes than a pool can do. */
const loadFactors = [1, 3.5];

/** Share of the jobs that take longer than estimated. */
const longShare = 0.35;

/** Factor by which they take longer. */
const longFactor = 12;

/** Share of the jobs of which all runs fail. */
const hopelessShare = 0.01;

/** Share of the runs of the other jobs that fail. */
const failedRunShare = 0.03;

/** Share of the jobs with one step only. */
const singleStepShare = 0.4;

/** When the first faults of each wave of faults may begin, in ms. */
const waveStartsMs = [4_000, 16_500];

/** Spread of the faults of one wave, in ms. */
const waveSpreadMs = 1_500;

/** Share of the rounds in which the owner of the pool is killed. */
const killShare = 0.75;

/** Share of the kills that are followed by another one during the cut. */
const secondKillShare = 0.3;

/** Share of the rounds that hit the zone in which most runs have just begun. */
const busiestShare = 0.7;

/** Share of the cuts that begin with the return. */
const instantCutShare = 0.35;

/** Share of the plays at whose end all entries are killed at once. */
const killAllShare = 0.25;

/** Span at the end of the traffic in which that happens, in ms. */
const killAllSpanMs = 3_000;

/** Jobs that callers send to a pool while its endpoints are dark. */
const burstJobs = 10;

/** Time before the dark from which they come, in ms. */
const burstLeadMs = 300;

/** Number of outages of parts of the store in a play that has them. */
const outageTurns = 3;

/** Time from one turn of an outage to the next, in ms. */
const outageTurnMs = 9_000;

/** Span of its turn in which an outage begins, in ms. */
const outageSpreadMs = 2_000;

/** Shortest outage, in ms. */
const minOutageMs = 3_000;

/** Smallest share of the parts that are down in an outage. */
const minDownShare = 0.1;

/** Bound of the numbers that draw which parts are down. */
const maxOutageDraw = 1_000_000;

/** Distance of the seeds of outages from those of plays. */
const outageSeedOffset = 1_000_003;

/** A job that a caller is to send. */
export interface PlannedJob {
  readonly id: string;
  readonly queue: QueuePlan;
  /** Number of its steps that are sent. */
  readonly stepCount: number;
  /** Time after the beginning of the traffic, in ms. */
  readonly sendAt: number;
  /** Factor by which its tasks take longer than estimated. */
  readonly runtimeFactor: number;
  /** Share of its runs that fail. */
  readonly failureShare: number;
}

/** A kill of the entry that owns the pool. */
export interface PlannedKill {
  /** Time after the return, in ms; negative for a kill before it. */
  readonly afterReturnMs: number;
  /** Time until the entry is started again, in ms. */
  readonly restartAfterMs: number;
}

/** One round of faults: endpoints are dark, return, and are cut off. */
export interface FaultRound {
  readonly pool: string;
  /** Availability zone; undefined for the one in which most runs just began. */
  readonly zone: string | undefined;
  /** Time after the beginning of the traffic, in ms. */
  readonly darkAt: number;
  readonly darkMs: number;
  /** Time from the return to the writing of the new row, in ms. */
  readonly rowAfterMs: number;
  /** Time from the return to the cut, in ms. */
  readonly cutAfterMs: number;
  readonly cutMs: number;
  /** Kills of whoever owns the pool at the time. */
  readonly kills: readonly PlannedKill[];
}

/** A time for which a share of the store's parts is down. */
export interface StoreOutage {
  /** Time after the beginning of the traffic, in ms. */
  readonly at: number;
  readonly ms: number;
  /** Share of the parts that are down. */
  readonly share: number;
  /** Draws which parts these are. */
  readonly draw: number;
}

/** A wave over all hosts. */
export interface PlannedWave {
  /** Time after the beginning of the traffic, in ms. */
  readonly at: number;
  /** Most hosts that may be down for it at once. */
  readonly maxCount: number;
}

/** What is drawn besides if the store is to be down in part. */
export interface OutagePlan {
  readonly outages: readonly StoreOutage[];
  readonly wave: PlannedWave;
}

/** A play. */
export interface PlayPlan {
  readonly seed: number;
  readonly jobs: readonly PlannedJob[];
  readonly rounds: readonly FaultRound[];
  /** When all entries are killed; undefined if they are not. In ms. */
  readonly killAllAt: number | undefined;
}

/** Draws from a seed. */
class Draw {
  readonly #random: () => number;

  constructor(seed: number) {
    this.#random = seededRandom(seed);
  }

  /** A number from `from` up to `to`, which is excluded. */
  between(from: number, to: number): number {
    return from + this.#random() * (to - from);
  }

  /** A whole number of ms from `from` up to `to`, which is excluded. */
  ms(from: number, to: number): number {
    return Math.floor(this.between(from, to));
  }

  /** Whether something with this probability happens. */
  happens(probability: number): boolean {
    return this.#random() < probability;
  }

  /** One of a list. */
  pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.#random() * list.length)];
  }

  /** An id of 16 hexadecimal digits. */
  id(): string {
    const digits = Array.from(
      { length: 16 },
      () => this.ms(0, 16).toString(16),
    );
    return digits.join("");
  }
}

/** Draws a job of a queue. */
function drawJob(draw: Draw, queue: QueuePlan, sendAt: number): PlannedJob {
  const steps = queue.steps.length;
  return {
    id: draw.id(),
    queue,
    stepCount: draw.happens(singleStepShare) ? 1 : steps,
    sendAt,
    runtimeFactor: draw.happens(longShare) ? longFactor : 1,
    failureShare: draw.happens(hopelessShare) ? 1 : failedRunShare,
  };
}

/** Draws the steady jobs of a queue. */
function drawSteadyJobs(draw: Draw, queue: QueuePlan): readonly PlannedJob[] {
  const rate = jobsPerSecond[queue.name] * draw.pick(loadFactors);
  const meanGapMs = 1_000 / rate;
  const jobs: PlannedJob[] = [];
  let at = draw.between(0, 2 * meanGapMs);
  while (at < trafficMs) {
    jobs.push(drawJob(draw, queue, Math.floor(at)));
    at += draw.between(0, 2 * meanGapMs);
  }
  return jobs;
}

/** Draws the job of a queue whose tasks last. */
function drawLastingJob(draw: Draw, queue: QueuePlan): PlannedJob {
  return {
    id: draw.id(),
    queue,
    stepCount: queue.steps.length,
    sendAt: draw.ms(0, 1_000),
    runtimeFactor: 1,
    failureShare: 0,
  };
}

/** Draws a kill between two times after the return, in ms. */
function drawKill(draw: Draw, fromMs: number, toMs: number): PlannedKill {
  return {
    afterReturnMs: draw.ms(fromMs, toMs),
    restartAfterMs: draw.ms(200, 500),
  };
}

/** Draws the kills of a round: around the return, and during the cut. */
function drawKills(draw: Draw): readonly PlannedKill[] {
  if (!draw.happens(killShare)) return [];
  const first = drawKill(draw, -300, 300);
  if (!draw.happens(secondKillShare)) return [first];
  return [first, drawKill(draw, 1_500, 6_000)];
}

/** Draws a round of faults in a pool. */
function drawRound(draw: Draw, pool: string, waveStart: number): FaultRound {
  const isInstantCut = draw.happens(instantCutShare);
  return {
    pool,
    zone: draw.happens(busiestShare) ? undefined : draw.pick(zones),
    darkAt: waveStart + draw.ms(0, waveSpreadMs),
    darkMs: draw.ms(550, 750),
    rowAfterMs: draw.ms(20, 250),
    cutAfterMs: isInstantCut ? draw.ms(0, 5) : draw.ms(5, 400),
    cutMs: draw.ms(8_500, 9_500),
    kills: drawKills(draw),
  };
}

/** Draws the jobs that come while the endpoints of a round are dark. */
function drawBurst(draw: Draw, round: FaultRound): readonly PlannedJob[] {
  const queue = endingQueues.find(({ pool }) => pool === round.pool);
  if (queue === undefined) return [];
  return Array.from({ length: burstJobs }, () => {
    const afterMs = draw.ms(-burstLeadMs, round.darkMs);
    return drawJob(draw, queue, round.darkAt + afterMs);
  });
}

/** Draws an outage in its turn among those of a play. */
function drawOutage(draw: Draw, turn: number): StoreOutage {
  return {
    at: turn * outageTurnMs + draw.ms(0, outageSpreadMs),
    ms: draw.ms(minOutageMs, maxOutageMs),
    share: draw.between(minDownShare, maxDownShare),
    draw: draw.ms(0, maxOutageDraw),
  };
}

/**
 * Draws when parts of the store are down, and a wave of the same time. It has
 * random numbers of its own, so that the rest of a play is as without it.
 */
export function drawOutages(seed: number): OutagePlan {
  const draw = new Draw(seed + outageSeedOffset);
  const outages = Array.from(
    { length: outageTurns },
    (_, turn) => drawOutage(draw, turn),
  );
  const wave = { at: draw.ms(0, waveSpreadMs), maxCount: draw.ms(2, 5) };
  return { outages, wave };
}

/** Draws a play from its seed. */
export function drawPlay(seed: number): PlayPlan {
  const draw = new Draw(seed);
  const rounds = waveStartsMs.flatMap((start) =>
    busyPools.map((pool) => drawRound(draw, pool, start))
  );
  const jobs = [
    ...lastingQueues.map((queue) => drawLastingJob(draw, queue)),
    ...endingQueues.flatMap((queue) => drawSteadyJobs(draw, queue)),
    ...rounds.flatMap((round) => drawBurst(draw, round)),
  ];
  const killAllAt = draw.happens(killAllShare)
    ? draw.ms(trafficMs - killAllSpanMs, trafficMs)
    : undefined;
  jobs.sort((a, b) => a.sendAt - b.sendAt);
  return { seed, jobs, rounds, killAllAt };
}
