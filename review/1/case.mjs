/**
 * A worker has more than 500 ends that are not acknowledged, because the store
 * was down while its tasks ended. Judges TWICE.
 */
import path from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../stage/http.mjs";
import { runCase } from "../stage/stage.mjs";

const taskMs = 2_500;
const jobs = 12;
const tasksPerJob = 60;
const outageMs = 4_500;

/** Starts after a run of the task had ended `done`, where that end counts. */
function startsAfterDone(begun) {
  const broken = [];
  for (const later of begun) {
    const earlier = begun.find((each) =>
      each !== later && each.task === later.task &&
      each.end?.how === "done" && each.end.at < later.beganAt &&
      each.end.ackedAt !== undefined && !each.end.lapsed
    );
    if (earlier === undefined) continue;
    const { task, run, worker, beganAt } = later;
    broken.push(
      `TWICE ${task}: run ${run} began at ${beganAt.toFixed(0)} on ` +
        `${worker.id}, run ${earlier.run} had ended done at ` +
        `${earlier.end.at.toFixed(0)} on ${earlier.worker.id}, noted at ` +
        `${earlier.end.ackedAt.toFixed(0)}`,
    );
  }
  return broken;
}

await runCase(
  path.dirname(fileURLToPath(import.meta.url)),
  () => taskMs,
  async (stage, trouble) => {
    await stage.open({
      entries: 3,
      routes: [{ name: "rent-bill", pathPrefix: "/rent/", backend: "billing" }],
      services: ["billing"],
      workers: Array(4).fill({ backend: "billing" }),
    });
    const phases = [{
      count: tasksPerJob,
      cpu: 20,
      memMb: 16,
      estRuntimeMs: taskMs,
    }];
    const ids = await Promise.all(
      Array.from(
        { length: jobs },
        () => stage.submit("rent-bill", { spec: "rent", phases }),
      ),
    );
    const total = jobs * tasksPerJob;
    for (let i = 0; i < 200 && stage.runs.begun.length < total; i++) {
      await sleep(10);
    }
    if (stage.runs.begun.length < total) throw new Error("not all have begun");
    if (trouble) await stage.store.beDown(outageMs);
    await sleep(8_000);
    for (const id of ids) {
      stage.record.add("state", { id, state: await stage.stateOf(id) });
    }
    return startsAfterDone(stage.runs.begun);
  },
);
