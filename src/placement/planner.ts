/**
 * Plans one placement pass of a shard: takes the waiting tasks in rank order
 * and assigns endpoints to them while resources are free. Planning does not
 * change the sessions; the caller reserves the resources there when it carries
 * out the plan.
 */
import { type StartBudget, unlimitedBudget } from "../allowances/index.ts";
import {
  isWaiting,
  type ReadyStep,
  readySteps,
  stepName,
  type StepRef,
  type StepSpec,
  taskName,
  type TaskRef,
} from "../batch/index.ts";
import type { TrackedJob } from "../shard_jobs/index.ts";
import { acceptsTasks, type EndpointSession } from "../sessions/index.ts";
import {
  compareRanks,
  decidedRank,
  type LoadDecision,
  occurrenceKey,
  type Rank,
  rankOfJob,
} from "../queueing/index.ts";
import { UnplacedDemands } from "./unplaced_demands.ts";
import { awaitedEndpoints } from "./awaited_endpoints.ts";
import { chooseEndpoint, isEligible } from "./endpoint_choice.ts";
import type { RunTimes } from "../runs/index.ts";
import { type CurrentTask, EndpointCandidate } from "./endpoint_candidate.ts";

/** A task and the endpoint on which it is to start. */
export interface PlannedTask {
  readonly job: TrackedJob;
  readonly ref: TaskRef;
  readonly endpoint: string;
}

/** Clock readings, run times and decisions that a pass plans with. */
export interface PlanContext {
  /** Monotonic time in ms. */
  readonly now: number;
  /** Wall-clock time in ms. */
  readonly wall: number;
  /** Expected run times of tasks. */
  readonly runTimes: RunTimes;
  /** Decisions about waiting occurrences, by their keys. */
  readonly decisions: ReadonlyMap<string, LoadDecision>;
  /** What may start of limited workspaces; absent without limits. */
  readonly budget?: StartBudget;
}

/** Restrictions on endpoints beyond the state of their sessions. */
export interface EndpointPolicy {
  /** Returns whether an endpoint must not receive tasks. */
  isClosed(endpoint: string): boolean;
  /**
   * Returns whether the endpoint's host may still be moved to another pool, so
   * that the endpoint must not receive tasks with an availability budget.
   */
  mayBeMoved(endpoint: string): boolean;
  /** Returns whether the task needs a ticket there that is not available. */
  lacksTicket(job: TrackedJob, ref: StepRef, endpoint: string): boolean;
  /**
   * Returns whether the endpoint is to be vacated later, so that long-running
   * tasks go elsewhere if they can; without it no endpoint is.
   */
  awaitsVacate?(endpoint: string): boolean;
}

/** Most tasks that one pass places; the others wait for the next pass. */
const maxPlannedTasks = 300;

/**
 * Number of steps that wait for endpoints from which these endpoints are
 * reserved for them. Otherwise small tasks of lower rank would fill each gap, and
 * the larger tasks ahead of them would never get the resources that they wait
 * for.
 */
const minStepsForReservation = 8;

/** Returns the endpoints that may receive tasks in this pass. */
function openEndpoints(
  sessions: Iterable<EndpointSession>,
  policy: EndpointPolicy,
  current: CurrentTask,
  now: number,
): readonly EndpointCandidate[] {
  const endpoints: EndpointCandidate[] = [];
  for (const session of sessions) {
    const { id } = session.endpoint;
    if (!session.mayStartRuns(now)) continue;
    if (policy.isClosed(id)) continue;
    const endpoint = new EndpointCandidate(
      session,
      policy.mayBeMoved(id),
      current,
    );
    if (acceptsTasks(session.failures, endpoint, now)) endpoints.push(endpoint);
  }
  return endpoints;
}

/** A step with waiting tasks. */
interface WaitingStep {
  readonly job: TrackedJob;
  readonly ready: ReadyStep;
  readonly rank: Rank;
}

/**
 * Returns the steps with waiting tasks in rank order. The tasks of a step are
 * interchangeable, so the tens of thousands of tasks of an overload are sorted
 * as a few hundred steps.
 */
function waitingSteps(
  jobs: Iterable<TrackedJob>,
  { wall, runTimes, decisions }: PlanContext,
): readonly WaitingStep[] {
  const waiting: WaitingStep[] = [];
  for (const job of jobs) {
    const { spec, progress } = job;
    for (const ready of readySteps(progress, spec)) {
      if (ready.waiting === 0) continue;
      const { occurrence } = ready;
      const rank = rankOfJob(job, occurrence, wall, runTimes);
      const decision = decisions.get(occurrenceKey(spec.id, occurrence));
      waiting.push({ job, ready, rank: decidedRank(rank, decision) });
    }
  }
  return waiting.sort((a, b) => compareRanks(a.rank, b.rank));
}

/** Yields the waiting tasks of a step in index order. */
function* waitingTasks(
  { occurrence, step, tasks }: ReadyStep,
): Generator<TaskRef> {
  for (const [index, task] of tasks.entries()) {
    if (isWaiting(task)) yield { occurrence, step, index };
  }
}

/** State that the functions of one pass share. */
interface PassState {
  /** Endpoints that are not reserved for steps of higher rank. */
  endpoints: readonly EndpointCandidate[];
  readonly current: CurrentTask;
  readonly policy: EndpointPolicy;
  readonly budget: StartBudget;
  /** Whether the limit of a workspace held the last task back. */
  isLimitReached: boolean;
}

/** Returns the endpoints that policy allows for the task. */
function eligibleEndpoints(
  { endpoints, policy }: Pick<PassState, "endpoints" | "policy">,
  job: TrackedJob,
  ref: StepRef,
): readonly EndpointCandidate[] {
  const isProtected = job.spec.steps[ref.step].maxUnavailable !== undefined;
  if (!isProtected && !job.spec.advised) return endpoints;
  return endpoints.filter(({ id, mayBeMoved }) =>
    !(isProtected && mayBeMoved) && !policy.lacksTicket(job, ref, id)
  );
}

/** Returns the endpoints that a step's tasks need not leave soon. */
function stayingEndpoints(
  { policy }: Pick<PassState, "policy">,
  step: StepSpec,
  endpoints: readonly EndpointCandidate[],
): readonly EndpointCandidate[] {
  if (!step.longRunning) return endpoints;
  return endpoints.filter(({ id }) => !policy.awaitsVacate?.(id));
}

/** Returns the rack of the first endpoint that runs tasks of the step. */
function rackOfStep(
  endpoints: readonly EndpointCandidate[],
): string | undefined {
  // The last label of an endpoint is its rack.
  return endpoints.find((each) => each.sameStepCount > 0)?.labels.at(-1);
}

/**
 * Chooses an endpoint for one task, if the limit of its workspace allows it, and
 * reserves its resources.
 */
function planTask(
  pass: PassState,
  job: TrackedJob,
  ref: TaskRef,
  followsInGang = false,
): PlannedTask | undefined {
  const { endpoints, current, budget } = pass;
  const step = job.spec.steps[ref.step];
  current.failedEndpoints = job.failedEndpoints.get(taskName(job.spec.id, ref));
  const isRackLocal = step.rackLocal || step.gang;
  const rack = isRackLocal ? rackOfStep(endpoints) : undefined;
  const eligible = eligibleEndpoints(pass, job, ref);
  const staying = stayingEndpoints(pass, step, eligible);
  let chosen = chooseEndpoint(step, staying, rack);
  if (chosen === undefined && staying !== eligible) {
    chosen = chooseEndpoint(step, eligible, rack);
  }
  pass.isLimitReached = chosen !== undefined &&
    !budget.take(job.spec.workspace, step.demand, followsInGang);
  if (chosen === undefined || pass.isLimitReached) return undefined;
  chosen.reserve(step);
  return { job, ref, endpoint: chosen.id };
}

/** Plans all members of a gang, or none if one does not fit. */
function planGang(
  pass: PassState,
  job: TrackedJob,
  members: readonly TaskRef[],
): readonly PlannedTask[] {
  if (members.length < job.spec.steps[members[0].step].count) return [];
  const snapshots = pass.endpoints.map((endpoint) => endpoint.save());
  const taken = pass.budget.save();
  const planned: PlannedTask[] = [];
  for (const ref of members) {
    const task = planTask(pass, job, ref, planned.length > 0);
    if (task === undefined) {
      pass.endpoints.forEach((endpoint, i) => endpoint.restore(snapshots[i]));
      pass.budget.restore(taken);
      return [];
    }
    planned.push(task);
  }
  return planned;
}

/** Planned tasks of a step, and whether a task did not fit anywhere. */
interface StepPlan {
  readonly tasks: readonly PlannedTask[];
  readonly isIncomplete: boolean;
}

const emptyStepPlan: StepPlan = { tasks: [], isIncomplete: true };

/** Plans at most `limit` tasks of a step, until one does not fit anywhere. */
function planStep(
  pass: PassState,
  { job, ready }: WaitingStep,
  limit: number,
): StepPlan {
  if (job.spec.steps[ready.step].gang) {
    const planned = planGang(pass, job, [...waitingTasks(ready)]);
    return { tasks: planned, isIncomplete: planned.length === 0 };
  }
  const planned: PlannedTask[] = [];
  for (const ref of waitingTasks(ready)) {
    if (planned.length >= limit) break;
    const task = planTask(pass, job, ref);
    if (task === undefined) return { tasks: planned, isIncomplete: true };
    planned.push(task);
  }
  return { tasks: planned, isIncomplete: false };
}

/** Collects the endpoints that steps wait for, and reserves them. */
class Reservations {
  readonly #awaited = new Set<EndpointCandidate>();
  #stepCount = 0;

  /** Adds a step of which a task fits nowhere now. */
  add(pass: PassState, { job, ready }: WaitingStep): void {
    const { occurrence, step, waiting } = ready;
    const spec = job.spec.steps[step];
    const eligible = eligibleEndpoints(pass, job, { occurrence, step });
    const awaited = awaitedEndpoints(spec, eligible, waiting);
    if (awaited.length === 0) return;
    this.#stepCount++;
    for (const endpoint of awaited) this.#awaited.add(endpoint);
    if (this.#stepCount < minStepsForReservation) return;
    pass.endpoints = pass.endpoints.filter((e) => !this.#awaited.has(e));
  }
}

/** Whether the pass has shown before that the limit holds such a step back. */
function isKnownShort({ budget }: PassState, { job, ready }: WaitingStep) {
  const { workspace, steps } = job.spec;
  const { demand } = steps[ready.step];
  return budget.hasShortage(workspace) && !budget.allows(workspace, demand);
}

/**
 * Notes a step that is incomplete if the limit of its workspace holds it back;
 * returns whether that is so. Such a step reserves no endpoint. If there is no
 * endpoint for it either, the pool asks for room for a single task.
 */
function holdBackStep(
  { budget, isLimitReached }: PassState,
  { job, ready }: WaitingStep,
  placed: number,
): boolean {
  const { id, workspace, steps } = job.spec;
  const { demand, gang } = steps[ready.step];
  const isExhausted = budget.isExhausted(workspace, demand);
  if (!isLimitReached && !isExhausted) return false;
  if (isExhausted) budget.holdBack(id);
  if (isLimitReached) {
    budget.addShortage(workspace, demand, ready.waiting - placed, gang);
  } else if (!budget.hasShortage(workspace)) {
    budget.addShortage(workspace, demand, 1, false);
  }
  return true;
}

/** Plans which tasks start on which endpoints in one placement pass. */
export function planStarts(
  jobs: Iterable<TrackedJob>,
  sessions: Iterable<EndpointSession>,
  policy: EndpointPolicy,
  context: PlanContext,
): readonly PlannedTask[] {
  const { now, budget = unlimitedBudget() } = context;
  const current: CurrentTask = {
    now,
    stepName: "",
    failedEndpoints: undefined,
  };
  const endpoints = openEndpoints(sessions, policy, current, now);
  if (endpoints.length === 0) return [];
  const pass: PassState = {
    endpoints,
    current,
    policy,
    budget,
    isLimitReached: false,
  };
  const planned: PlannedTask[] = [];
  const unplaced = new UnplacedDemands();
  const reservations = new Reservations();
  for (const waiting of waitingSteps(jobs, context)) {
    const remaining = maxPlannedTasks - planned.length;
    if (remaining <= 0 || pass.endpoints.length === 0) break;
    const { job, ready } = waiting;
    const step = job.spec.steps[ready.step];
    current.stepName = stepName(job.spec.id, ready);
    pass.isLimitReached = isKnownShort(pass, waiting);
    const { tasks, isIncomplete } = pass.isLimitReached || unplaced.covers(step)
      ? emptyStepPlan
      : planStep(pass, waiting, remaining);
    planned.push(...tasks);
    if (!isIncomplete || holdBackStep(pass, waiting, tasks.length)) continue;
    unplaced.add(job.spec, step);
    reservations.add(pass, waiting);
  }
  return planned;
}

/**
 * Returns whether a task of a long-running step could be placed now on an
 * endpoint that is not to be vacated later.
 */
export function hasRoomToStay(
  job: TrackedJob,
  ref: StepRef,
  sessions: Iterable<EndpointSession>,
  policy: EndpointPolicy,
  now: number,
): boolean {
  const name = stepName(job.spec.id, ref);
  const current = { now, stepName: name, failedEndpoints: undefined };
  const endpoints = openEndpoints(sessions, policy, current, now);
  const step = job.spec.steps[ref.step];
  const eligible = eligibleEndpoints({ endpoints, policy }, job, ref);
  return stayingEndpoints({ policy }, step, eligible)
    .some((endpoint) => isEligible(step, endpoint));
}
