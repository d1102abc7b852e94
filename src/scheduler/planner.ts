/**
 * One pass of placement over a shard: takes the waiting tasks in order and
 * gives each a place while there is room. Pure but for the sessions' room,
 * which the caller takes as the plan is carried out.
 */
import {
  isWaiting,
  type ReadyStep,
  readySteps,
  stepName,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import type { BookedJob } from "./job_book.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import { occurrenceKey, rankOfJob } from "./job_rank.ts";
import { MissedDemands } from "./missed_demands.ts";
import { compareRanks, putOff, type Rank } from "./order.ts";
import { choosePlace } from "./place.ts";
import type { RunTimes } from "./run_times.ts";
import { Slot, type TaskView } from "./slot.ts";
import { mayGetWork } from "./suspicion.ts";

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

/**
 * Steps that may miss a place before a pass ends. Small tasks of jobs further
 * back would go on to fill each gap, and those in front never get the room
 * that they wait for.
 */
const maxMissedSteps = 8;

function openSlots(
  sessions: Iterable<EndpointSession>,
  policy: EndpointPolicy,
  view: TaskView,
  now: number,
): readonly Slot[] {
  const slots: Slot[] = [];
  for (const session of sessions) {
    const { id } = session.endpoint;
    if (!session.isOpen || session.fullUntil > now) continue;
    if (policy.isClosed(id)) continue;
    const slot = new Slot(session, policy.isUnsettled(id), view);
    if (mayGetWork(session.suspicion, slot, now)) slots.push(slot);
  }
  return slots;
}

/** A step with tasks that wait for a place. */
interface WaitingStep {
  readonly job: BookedJob;
  readonly ready: ReadyStep;
  readonly rank: Rank;
}

/**
 * The steps with waiting tasks, in the order in which they get places. The
 * tasks of a step are alike, so that an overload's tens of thousands of tasks
 * are sorted as some hundreds of steps.
 */
function waitingSteps(
  jobs: Iterable<BookedJob>,
  { wall, times, putOff: isPutOff }: PlanTime,
): readonly WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const job of jobs) {
    const { spec, progress } = job;
    for (const ready of readySteps(progress, spec)) {
      if (ready.waiting === 0) continue;
      const { occurrence } = ready;
      const rank = rankOfJob(job, occurrence, wall, times);
      const later = isPutOff.has(occurrenceKey(spec.id, occurrence));
      waiting.push({ job, ready, rank: later ? putOff(rank) : rank });
    }
  }
  return waiting.sort((a, b) => compareRanks(a.rank, b.rank));
}

/** The tasks of a step that wait, in the order of their indexes. */
function* waitingTasks(
  { occurrence, step, tasks }: ReadyStep,
): Generator<TaskRef> {
  for (const [index, task] of tasks.entries()) {
    if (isWaiting(task)) yield { occurrence, step, index };
  }
}

/** What a pass works with. */
interface Pass {
  readonly slots: readonly Slot[];
  readonly view: TaskView;
  readonly policy: EndpointPolicy;
}

/** Endpoints that may get the task, as far as its room goes. */
function usableSlots(
  { slots, policy }: Pass,
  job: BookedJob,
  ref: TaskRef,
): readonly Slot[] {
  const isProtected = job.spec.steps[ref.step].maxUnavailable !== undefined;
  if (!isProtected && !job.spec.advised) return slots;
  return slots.filter(({ id, isUnsettled }) =>
    !(isProtected && isUnsettled) && !policy.lacksTicket(job, ref, id)
  );
}

/** The rack where most of the step's tasks are. */
function rackOfStep(slots: readonly Slot[]): string | undefined {
  // The last label of an endpoint is its rack.
  return slots.find((slot) => slot.sameStep > 0)?.labels.at(-1);
}

function placeOne(
  pass: Pass,
  job: BookedJob,
  ref: TaskRef,
): PlannedTask | undefined {
  const { slots, view } = pass;
  const step = job.spec.steps[ref.step];
  view.step = stepName(job.spec.id, ref);
  view.failedAt = job.failedAt.get(taskName(job.spec.id, ref));
  const local = step.rackLocal || step.gang;
  const rack = local ? rackOfStep(slots) : undefined;
  const slot = choosePlace(step, usableSlots(pass, job, ref), rack);
  if (slot === undefined) return undefined;
  slot.take(step);
  return { job, ref, endpoint: slot.id };
}

/** Places all members of a gang or none. */
function placeGang(
  pass: Pass,
  job: BookedJob,
  members: readonly TaskRef[],
): readonly PlannedTask[] {
  if (members.length < job.spec.steps[members[0].step].count) return [];
  const before = pass.slots.map((slot) => slot.save());
  const placed: PlannedTask[] = [];
  for (const ref of members) {
    const one = placeOne(pass, job, ref);
    if (one === undefined) {
      pass.slots.forEach((slot, i) => slot.restore(before[i]));
      return [];
    }
    placed.push(one);
  }
  return placed;
}

/** The places of a step's tasks, and whether one found none. */
interface PlacedStep {
  readonly placed: readonly PlannedTask[];
  readonly isShort: boolean;
}

const nothingPlaced: PlacedStep = { placed: [], isShort: true };

/** Places tasks of a step until one finds no place, at most `most`. */
function placeStep(
  pass: Pass,
  { job, ready }: WaitingStep,
  most: number,
): PlacedStep {
  if (job.spec.steps[ready.step].gang) {
    const placed = placeGang(pass, job, [...waitingTasks(ready)]);
    return { placed, isShort: placed.length === 0 };
  }
  const placed: PlannedTask[] = [];
  for (const ref of waitingTasks(ready)) {
    if (placed.length >= most) break;
    const one = placeOne(pass, job, ref);
    if (one === undefined) return { placed, isShort: true };
    placed.push(one);
  }
  return { placed, isShort: false };
}

/** Plans the starts of one pass. */
export function planStarts(
  jobs: Iterable<BookedJob>,
  sessions: Iterable<EndpointSession>,
  policy: EndpointPolicy,
  time: PlanTime,
): readonly PlannedTask[] {
  const view: TaskView = { step: "", failedAt: undefined };
  const slots = openSlots(sessions, policy, view, time.now);
  if (slots.length === 0) return [];
  const pass: Pass = { slots, view, policy };
  const planned: PlannedTask[] = [];
  const missed = new MissedDemands();
  for (const waiting of waitingSteps(jobs, time)) {
    const left = maxPlannedTasks - planned.length;
    if (left <= 0 || missed.count >= maxMissedSteps) break;
    const { spec } = waiting.job;
    const step = spec.steps[waiting.ready.step];
    const { placed, isShort } = missed.covers(step)
      ? nothingPlaced
      : placeStep(pass, waiting, left);
    if (isShort) missed.add(spec, step);
    planned.push(...placed);
  }
  return planned;
}
