/**
 * Finds the endpoints that have the room for a pool's waiting tasks.
 *
 * The number of hosts that a pool wants is computed from a sum, in which free room
 * on several hosts counts like room on one. A task needs its room on one endpoint,
 * which must have the step's label and fewer tasks of the step than its limit. So
 * it matters which endpoints are offered to other pools, not only how many.
 */
import {
  addResources,
  fitsInto,
  multiplyResources,
  type ReadyStep,
  readySteps,
  reservedResources,
  type Resources,
  type StepSpec,
} from "../batch/index.ts";
import { lateWorkWeight } from "./host_demand.ts";
import type { IsLate, PoolEndpoint, PoolJob } from "./pool_state.ts";

/** Input of {@link neededEndpoints}. */
export interface NeededEndpointsInput {
  readonly jobs: readonly PoolJob[];
  /** Endpoints of the pool. */
  readonly endpoints: readonly PoolEndpoint[];
  /** Ids of the endpoints that are offered to other pools. */
  readonly offered: ReadonlySet<string>;
  readonly isLate: IsLate;
  /** Number of hosts that the pool keeps in any case. */
  readonly want: number;
}

/** Tasks of a step that wait for room. */
interface WaitingTasks {
  readonly step: StepSpec;
  readonly ready: ReadyStep;
  /** Number of tasks to find room for. */
  readonly count: number;
  readonly isLate: boolean;
}

/** An endpoint with what would be used there. */
interface Room {
  readonly endpoint: PoolEndpoint;
  used: Resources;
}

/**
 * Returns the ids of the endpoints on which the waiting tasks of all jobs can be
 * placed at once. Endpoints in use come first and offered ones last, so that as few
 * as possible of these are among them. Of the tasks that can only be late a share
 * counts, as in the demand for hosts, but at least one of each step; none of a step
 * that has room on a wanted host once the tasks that end there have ended.
 */
export function neededEndpoints(
  { jobs, endpoints, offered, isLate, want }: NeededEndpointsInput,
): ReadonlySet<string> {
  const rooms = openRooms(endpoints, offered);
  const kept = rooms.slice(0, want).map(({ endpoint }) => endpoint);
  const needed = new Set<string>();
  for (const waiting of waitingTasks(jobs, isLate)) {
    if (needed.size === rooms.length) break;
    const mayWait = waiting.isLate &&
      kept.some((endpoint) => willHaveRoom(waiting, endpoint));
    if (mayWait) continue;
    for (const id of placeTasks(waiting, rooms)) needed.add(id);
  }
  return needed;
}

/** Whether a task has room on an endpoint beside the long-running ones. */
function willHaveRoom(
  { step, ready }: WaitingTasks,
  endpoint: PoolEndpoint,
): boolean {
  if (tasksUpToLimit(step, ready, endpoint) === 0) return false;
  const { usedByLongRunning, capacity } = endpoint;
  const used = addResources(usedByLongRunning, reservedResources(step));
  return fitsInto(used, capacity);
}

/** The open endpoints in the order in which they are filled. */
function openRooms(
  endpoints: readonly PoolEndpoint[],
  offered: ReadonlySet<string>,
): readonly Room[] {
  const rank = (each: PoolEndpoint) => {
    if (each.hasLongRunningRuns) return Infinity;
    return offered.has(each.id) ? -1 : each.runCount;
  };
  return endpoints.filter((each) => each.isOpen)
    .toSorted((a, b) => compareNumbers(rank(b), rank(a)))
    .map((endpoint) => ({ endpoint, used: endpoint.used }));
}

/** Orders numbers, among them infinite ones, ascending. */
function compareNumbers(a: number, b: number): number {
  return Number(a > b) - Number(a < b);
}

/** The waiting tasks of all jobs, those that can be on time first. */
function waitingTasks(
  jobs: readonly PoolJob[],
  isLate: IsLate,
): readonly WaitingTasks[] {
  const waiting = jobs.flatMap((job) =>
    readySteps(job.progress, job.spec)
      .filter((ready) => ready.waiting > 0)
      .map((ready) => toWaitingTasks(job, ready, isLate))
  );
  return waiting.sort((a, b) => Number(a.isLate) - Number(b.isLate));
}

function toWaitingTasks(
  job: PoolJob,
  ready: ReadyStep,
  isLateOccurrence: IsLate,
): WaitingTasks {
  const isLate = isLateOccurrence(job, ready.occurrence);
  const count = isLate
    ? Math.ceil(ready.waiting * lateWorkWeight)
    : ready.waiting;
  return { step: job.spec.steps[ready.step], ready, count, isLate };
}

/** Reserves room for tasks; returns the ids of the endpoints that have it. */
function placeTasks(
  { step, ready, count }: WaitingTasks,
  rooms: readonly Room[],
): readonly string[] {
  const demand = reservedResources(step);
  const ids: string[] = [];
  let left = count;
  for (const room of rooms) {
    if (left === 0) break;
    const most = Math.min(left, tasksUpToLimit(step, ready, room.endpoint));
    const placed = countPlaces(demand, room, most);
    if (placed === 0) continue;
    room.used = addResources(room.used, multiplyResources(demand, placed));
    left -= placed;
    ids.push(room.endpoint.id);
  }
  return ids;
}

/** How many more tasks of a step an endpoint may get, whatever room it has. */
function tasksUpToLimit(
  { label, maxPerEndpoint }: StepSpec,
  { tasks }: ReadyStep,
  { id, labels }: PoolEndpoint,
): number {
  if (label !== "" && !labels.includes(label)) return 0;
  if (maxPerEndpoint <= 0) return Infinity;
  const present = tasks.filter((task) => task.placement?.endpoint === id);
  return Math.max(0, maxPerEndpoint - present.length);
}

/** How many tasks, `most` at the most, have room there. */
function countPlaces(
  demand: Resources,
  { endpoint: { capacity }, used }: Room,
  most: number,
): number {
  if (!fitsInto(addResources(used, demand), capacity)) return 0;
  return Math.min(
    most,
    wholeTimes(demand.cpuMillis, capacity.cpuMillis - used.cpuMillis),
    wholeTimes(demand.memoryMb, capacity.memoryMb - used.memoryMb),
    wholeTimes(demand.gpus, capacity.gpus - used.gpus),
  );
}

/** How often an amount fits into another; infinitely often if it is 0. */
function wholeTimes(amount: number, available: number): number {
  return amount > 0 ? Math.floor(available / amount) : Infinity;
}
