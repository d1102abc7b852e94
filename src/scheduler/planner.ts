/**
 * One pass of placement over a shard: takes the waiting tasks in order and
 * gives each a place while there is room. Pure but for the sessions' room,
 * which the caller takes as the plan is carried out.
 */
import {
  type Resources,
  startableTasks,
  stepName,
  type StepSpec,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import type { BookedJob } from "./job_book.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import { occurrenceKey, rankOfJob } from "./job_rank.ts";
import { compareRanks, putOff, type WaitingTask } from "./order.ts";
import { addResources, type Candidate, choosePlace, roomOf } from "./place.ts";
import type { RunTimes } from "./run_times.ts";
import { degree, mayGetWork } from "./suspicion.ts";

/** A task and the endpoint that it goes to. */
export interface PlannedTask {
  readonly job: BookedJob;
  readonly ref: TaskRef;
  readonly endpoint: string;
}

/** Times that a pass goes by. */
export interface PlanTime {
  /** Steady time in ms. */
  readonly now: number;
  /** Wall-clock time in ms. */
  readonly wall: number;
  /** Expected run times. */
  readonly times: RunTimes;
  /** Occurrences that are put off in favour of others, by their keys. */
  readonly putOff: ReadonlySet<string>;
}

/** Which endpoints may get which work, besides what their sessions say. */
export interface EndpointPolicy {
  /** Whether an endpoint must not get work. */
  isClosed(endpoint: string): boolean;
  /** Whether it must not get a task with an availability budget. */
  isUnsettled(endpoint: string): boolean;
  /** Whether a step needs a ticket there that is not at hand. */
  lacksTicket(job: BookedJob, ref: TaskRef, endpoint: string): boolean;
}

/** Most tasks that one pass places; the rest waits for the next pass. */
const maxPlannedTasks = 300;

/** Waiting tasks that may miss a place in a row before a pass ends. */
const maxMisses = 60;

/** Room of one endpoint during a pass. */
interface Slot {
  readonly session: EndpointSession;
  /** Whether tasks with an availability budget must not come here. */
  readonly isUnsettled: boolean;
  used: Resources;
  /** Runs by step and occurrence, `JOB.OCCURRENCE.STEP`. */
  readonly steps: Map<string, number>;
  runs: number;
}

function openSlots(
  sessions: Iterable<EndpointSession>,
  policy: EndpointPolicy,
  now: number,
): readonly Slot[] {
  const slots: Slot[] = [];
  for (const session of sessions) {
    const { id } = session.endpoint;
    if (!session.isOpen || session.fullUntil > now) continue;
    if (policy.isClosed(id)) continue;
    const steps = new Map<string, number>();
    let runs = 0;
    for (const run of session.runs.values()) {
      const key = stepName(run.job, run.ref);
      steps.set(key, (steps.get(key) ?? 0) + 1);
      if (!run.step.longRunning) runs++;
    }
    if (!mayGetWork(session.suspicion, runs, now)) continue;
    const isUnsettled = policy.isUnsettled(id);
    slots.push({ session, isUnsettled, used: session.used, steps, runs });
  }
  return slots;
}

function waitingTasks(
  jobs: Iterable<BookedJob>,
  { wall, times, putOff: isPutOff }: PlanTime,
): readonly (WaitingTask & { readonly job: BookedJob })[] {
  const waiting: (WaitingTask & { readonly job: BookedJob })[] = [];
  for (const job of jobs) {
    const { spec } = job;
    const ranks = new Map<number, WaitingTask["rank"]>();
    for (const ref of startableTasks(job.progress, spec)) {
      const { occurrence } = ref;
      const rank = ranks.get(occurrence) ??
        rankOfJob(job, occurrence, wall, times);
      ranks.set(occurrence, rank);
      const later = isPutOff.has(occurrenceKey(spec.id, occurrence));
      waiting.push({ job, spec, ref, rank: later ? putOff(rank) : rank });
    }
  }
  return waiting.sort((a, b) => compareRanks(a.rank, b.rank));
}

function candidates(
  slots: readonly Slot[],
  job: BookedJob,
  ref: TaskRef,
  policy: EndpointPolicy,
): readonly Candidate[] {
  const failedAt = job.failedAt.get(taskName(job.spec.id, ref));
  const key = stepName(job.spec.id, ref);
  const isProtected = job.spec.steps[ref.step].maxUnavailable !== undefined;
  const usable = slots.filter(({ isUnsettled, session }) =>
    !(isProtected && isUnsettled) &&
    !policy.lacksTicket(job, ref, session.endpoint.id)
  );
  return usable.map(({ session, used, steps }) => ({
    id: session.endpoint.id,
    labels: session.endpoint.labels,
    capacity: session.endpoint.capacity,
    used,
    sameStep: steps.get(key) ?? 0,
    failedHere: failedAt?.has(session.endpoint.id) ?? false,
    suspicion: degree(session.suspicion),
  }));
}

/** The rack where most of a step's tasks are. */
function rackOfStep(
  slots: readonly Slot[],
  job: BookedJob,
  ref: TaskRef,
): string | undefined {
  const key = stepName(job.spec.id, ref);
  const home = slots.find((slot) => slot.steps.has(key));
  // The last label of an endpoint is its rack.
  return home?.session.endpoint.labels.at(-1);
}

function take(slot: Slot, step: StepSpec, key: string): void {
  slot.used = addResources(slot.used, roomOf(step));
  slot.steps.set(key, (slot.steps.get(key) ?? 0) + 1);
  slot.runs++;
}

function placeOne(
  slots: readonly Slot[],
  job: BookedJob,
  ref: TaskRef,
  policy: EndpointPolicy,
): PlannedTask | undefined {
  const step = job.spec.steps[ref.step];
  const local = step.rackLocal || step.gang;
  const rack = local ? rackOfStep(slots, job, ref) : undefined;
  const chosen = choosePlace(step, candidates(slots, job, ref, policy), rack);
  const slot = slots.find((s) => s.session.endpoint.id === chosen?.id);
  if (chosen === undefined || slot === undefined) return undefined;
  take(slot, step, stepName(job.spec.id, ref));
  return { job, ref, endpoint: chosen.id };
}

/** Places all members of a gang or none. */
function placeGang(
  slots: readonly Slot[],
  job: BookedJob,
  members: readonly TaskRef[],
  policy: EndpointPolicy,
): readonly PlannedTask[] {
  if (members.length < job.spec.steps[members[0].step].count) return [];
  const before = slots.map((s) => ({ used: s.used, steps: new Map(s.steps) }));
  const placed: PlannedTask[] = [];
  for (const ref of members) {
    const one = placeOne(slots, job, ref, policy);
    if (one !== undefined) {
      placed.push(one);
      continue;
    }
    slots.forEach((slot, i) => {
      slot.used = before[i].used;
      slot.steps.clear();
      for (const [key, n] of before[i].steps) slot.steps.set(key, n);
    });
    return [];
  }
  return placed;
}

/** Plans the starts of one pass. */
export function planStarts(
  jobs: Iterable<BookedJob>,
  sessions: Iterable<EndpointSession>,
  policy: EndpointPolicy,
  time: PlanTime,
): readonly PlannedTask[] {
  const slots = openSlots(sessions, policy, time.now);
  if (slots.length === 0) return [];
  const waiting = waitingTasks(jobs, time);
  const planned: PlannedTask[] = [];
  const gangs = new Set<string>();
  let misses = 0;
  for (const { job, ref, spec } of waiting) {
    if (planned.length >= maxPlannedTasks || misses >= maxMisses) break;
    const key = stepName(spec.id, ref);
    if (gangs.has(key)) continue;
    let placed: readonly PlannedTask[];
    if (spec.steps[ref.step].gang) {
      gangs.add(key);
      const members = waiting.filter((w) => stepName(w.spec.id, w.ref) === key);
      placed = placeGang(slots, job, members.map((w) => w.ref), policy);
    } else {
      const one = placeOne(slots, job, ref, policy);
      placed = one === undefined ? [] : [one];
    }
    if (placed.length === 0) misses++;
    planned.push(...placed);
  }
  return planned;
}
