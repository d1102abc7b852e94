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
import { UnplacedDemands } from "./missed_demands.ts";
import { compareRanks, putOff, type Rank } from "./order.ts";
import { choosePlace } from "./place.ts";
import type { RunTimes } from "./run_times.ts";
import { type CurrentTask, EndpointCandidate } from "./slot.ts";
import { mayGetWork } from "./suspicion.ts";

/** A task and the endpoint that it goes to. */
export interface PlannedTask {
  readonly job: BookedJob;
  readonly ref: TaskRef;
  readonly endpoint: string;
}

/** Times that a pass goes by. */
export interface PlanContext {
  /** Steady time in ms. */
  readonly now: number;
  /** Wall-clock time in ms. */
  readonly wall: number;
  /** Expected run times. */
  readonly runTimes: RunTimes;
  /** Occurrences that are put off in favour of others, by their keys. */
  readonly deferred: ReadonlySet<string>;
}

/** Which endpoints may get which work, besides what their sessions say. */
export interface EndpointPolicy {
  /** Whether an endpoint must not get work. */
  isClosed(endpoint: string): boolean;
  /** Whether it must not get a task with an availability budget. */
  mayBeMoved(endpoint: string): boolean;
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
const maxUnplacedSteps = 8;

function openEndpoints(
  sessions: Iterable<EndpointSession>,
  policy: EndpointPolicy,
  current: CurrentTask,
  now: number,
): readonly EndpointCandidate[] {
  const endpoints: EndpointCandidate[] = [];
  for (const session of sessions) {
    const { id } = session.endpoint;
    if (!session.isOpen || session.fullUntil > now) continue;
    if (policy.isClosed(id)) continue;
    const endpoint = new EndpointCandidate(
      session,
      policy.mayBeMoved(id),
      current,
    );
    if (mayGetWork(session.suspicion, endpoint, now)) endpoints.push(endpoint);
  }
  return endpoints;
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
  { wall, runTimes, deferred }: PlanContext,
): readonly WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const job of jobs) {
    const { spec, progress } = job;
    for (const ready of readySteps(progress, spec)) {
      if (ready.waiting === 0) continue;
      const { occurrence } = ready;
      const rank = rankOfJob(job, occurrence, wall, runTimes);
      const isDeferred = deferred.has(occurrenceKey(spec.id, occurrence));
      waiting.push({ job, ready, rank: isDeferred ? putOff(rank) : rank });
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
interface PassState {
  readonly endpoints: readonly EndpointCandidate[];
  readonly current: CurrentTask;
  readonly policy: EndpointPolicy;
}

/** Endpoints that may get the task, as far as its room goes. */
function eligibleEndpoints(
  { endpoints, policy }: PassState,
  job: BookedJob,
  ref: TaskRef,
): readonly EndpointCandidate[] {
  const isProtected = job.spec.steps[ref.step].maxUnavailable !== undefined;
  if (!isProtected && !job.spec.advised) return endpoints;
  return endpoints.filter(({ id, mayBeMoved }) =>
    !(isProtected && mayBeMoved) && !policy.lacksTicket(job, ref, id)
  );
}

/** The rack where most of the step's tasks are. */
function rackOfStep(
  endpoints: readonly EndpointCandidate[],
): string | undefined {
  // The last label of an endpoint is its rack.
  return endpoints.find((each) => each.sameStepCount > 0)?.labels.at(
    -1,
  );
}

function planTask(
  pass: PassState,
  job: BookedJob,
  ref: TaskRef,
): PlannedTask | undefined {
  const { endpoints, current } = pass;
  const step = job.spec.steps[ref.step];
  current.stepName = stepName(job.spec.id, ref);
  current.failedAt = job.failedAt.get(taskName(job.spec.id, ref));
  const isRackLocal = step.rackLocal || step.gang;
  const rack = isRackLocal ? rackOfStep(endpoints) : undefined;
  const chosen = choosePlace(step, eligibleEndpoints(pass, job, ref), rack);
  if (chosen === undefined) return undefined;
  chosen.reserve(step);
  return { job, ref, endpoint: chosen.id };
}

/** Places all members of a gang or none. */
function planGang(
  pass: PassState,
  job: BookedJob,
  members: readonly TaskRef[],
): readonly PlannedTask[] {
  if (members.length < job.spec.steps[members[0].step].count) return [];
  const snapshots = pass.endpoints.map((endpoint) => endpoint.save());
  const planned: PlannedTask[] = [];
  for (const ref of members) {
    const task = planTask(pass, job, ref);
    if (task === undefined) {
      pass.endpoints.forEach((endpoint, i) => endpoint.restore(snapshots[i]));
      return [];
    }
    planned.push(task);
  }
  return planned;
}

/** The places of a step's tasks, and whether one found none. */
interface StepPlan {
  readonly tasks: readonly PlannedTask[];
  readonly isIncomplete: boolean;
}

const emptyStepPlan: StepPlan = { tasks: [], isIncomplete: true };

/** Places tasks of a step until one finds no place, at most `most`. */
function planStep(
  pass: PassState,
  { job, ready }: WaitingStep,
  limit: number,
): StepPlan {
  if (job.spec.steps[ready.step].gang) {
    const placed = planGang(pass, job, [...waitingTasks(ready)]);
    return { tasks: placed, isIncomplete: placed.length === 0 };
  }
  const placed: PlannedTask[] = [];
  for (const ref of waitingTasks(ready)) {
    if (placed.length >= limit) break;
    const task = planTask(pass, job, ref);
    if (task === undefined) return { tasks: placed, isIncomplete: true };
    placed.push(task);
  }
  return { tasks: placed, isIncomplete: false };
}

/** Plans the starts of one pass. */
export function planStarts(
  jobs: Iterable<BookedJob>,
  sessions: Iterable<EndpointSession>,
  policy: EndpointPolicy,
  context: PlanContext,
): readonly PlannedTask[] {
  const current: CurrentTask = { stepName: "", failedAt: undefined };
  const endpoints = openEndpoints(sessions, policy, current, context.now);
  if (endpoints.length === 0) return [];
  const pass: PassState = { endpoints, current, policy };
  const planned: PlannedTask[] = [];
  const unplaced = new UnplacedDemands();
  for (const waiting of waitingSteps(jobs, context)) {
    const remaining = maxPlannedTasks - planned.length;
    if (remaining <= 0 || unplaced.count >= maxUnplacedSteps) break;
    const { spec } = waiting.job;
    const step = spec.steps[waiting.ready.step];
    const { tasks, isIncomplete } = unplaced.covers(step)
      ? emptyStepPlan
      : planStep(pass, waiting, remaining);
    if (isIncomplete) unplaced.add(spec, step);
    planned.push(...tasks);
  }
  return planned;
}
