/** Checks that several cases share. */
import { sleep } from "./http.mjs";
import { now } from "./record.mjs";

const checkMs = 100;
const idleMs = 3_000;

/** Whether all tasks of a phase have a run that ended `done`. */
function isPhaseDone(stage, id, occurrence, phase, step) {
  const done = new Set(
    stage.runs.begun.filter((run) => run.end?.how === "done")
      .map((run) => run.task),
  );
  return Array.from({ length: phase.count }, (_, i) => i)
    .every((i) => done.has(`${id}.${occurrence}.${step}.${i}`));
}

/** Cores (in thousandths) and memory that are free on the workers in all. */
function freeTwice(stage, { cpu = 0, memMb = 0 }) {
  const places = stage.workers.filter((worker) => worker.isUp)
    .map((worker) => worker.placesFor({ cpu, memMb }));
  return places.reduce((sum, each) => sum + each, 0) >= 2;
}

/** Whether less than half of the cores of the workers are in use. */
function isHalfFree(stage) {
  const up = stage.workers.filter((worker) => worker.isUp);
  return ["cpu", "memMb"].every((resource) => {
    const used = up.reduce((sum, worker) => sum + worker.used(resource), 0);
    const all = up.reduce((sum, worker) => sum + worker.capacity[resource], 0);
    return used < all / 2;
  });
}

/**
 * Watches the jobs `ids`, which have one phase and run at once, and returns
 * those that have nothing running for 3 s on end while their turn has come,
 * there is room for a task twice over, and under half of the capacity is used.
 * It looks for `watchMs`.
 */
export async function findIdleJobs(stage, ids, watchMs) {
  const idleSince = new Map();
  const broken = new Map();
  const until = now() + watchMs;
  while (now() < until) {
    const running = new Set(
      stage.workers.filter((worker) => worker.isUp)
        .flatMap((worker) => worker.tasks).map((task) => task.split(".")[0]),
    );
    const halfFree = isHalfFree(stage);
    for (const id of ids) {
      const { phases: [phase], accepted } = stage.jobs.get(id);
      const isIdle = accepted && halfFree && !running.has(id) &&
        !isPhaseDone(stage, id, 0, phase, 0) && freeTwice(stage, phase);
      if (!isIdle) idleSince.delete(id);
      else if (!idleSince.has(id)) idleSince.set(id, now());
      const since = idleSince.get(id);
      if (since !== undefined && now() - since >= idleMs && !broken.has(id)) {
        broken.set(
          id,
          `LOST ${id}: nothing of it runs from ${since.toFixed(0)} to ` +
            `${now().toFixed(0)}, though there is room`,
        );
      }
    }
    await sleep(checkMs);
  }
  return [...broken.values()];
}
