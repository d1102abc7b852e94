/** An order arrives late, after its worker has started again under its id. */
import {
  delay,
  limits,
  route,
  runCase,
  service,
} from "../stand_ins_2/deployment.mjs";

const job = "94b36f85c0e7a21d";
const phases = [{ count: 1, cpu: 500, memMb: 256, estRuntimeMs: 1_000 }];
const runMs = 1_000;

/** Time by which the first order to start the task is late, in ms. */
const lateMs = 11_000;
/** Time from the submission to the crash, and of the crash, in ms. */
const crashAfterMs = 7_000;
const downMs = 1_000;
const watchedMs = 9_000;

const options = {
  zones: ["fukuoka", "fukuoka", "kumamoto", "kumamoto", "kagoshima", "oita"],
  pools: ["huvo11a", "wuno96b"],
  machinesPerPool: 4,
  capacity: { cpu: 16_000, memMb: 65_536, gpu: 0 },
};
const queue = route("r-rent", "huvo11a");
const config = {
  version: 7,
  routes: [queue, route("r-other", "wuno96b")],
  services: options.pools.map(service),
  limits,
};

await runCase(
  import.meta.url,
  options,
  config,
  async (deployment, isTroubled) => {
    // The workers have been up for longer than the clock of a new life shows.
    await delay(10_000);
    let delayedAt;
    for (const worker of deployment.workers) {
      worker.delayOrder = (path) => {
        if (!isTroubled || delayedAt !== undefined) return undefined;
        if (path !== "/-/run-start") return undefined;
        delayedAt = worker;
        return lateMs;
      };
    }
    const { status } = await deployment.submit(0, queue, job, phases, runMs);
    if (status !== 200) throw new Error("the job was not accepted");
    await delay(crashAfterMs);
    const noted = deployment.taskEvents(job, "end-noted").length;
    const state = await deployment.call(1, queue, "GET", job);
    if (noted === 0 || !state.text.includes("completed")) {
      throw new Error("the job was not completed in time");
    }
    const worker = delayedAt ??
      deployment.workers.find((w) =>
        w.identity.id === deployment.taskEvents(job, "start")[0].worker
      );
    await deployment.restartWorker(worker, downMs);
    await delay(watchedMs);
    const starts = deployment.taskEvents(job, "start");
    const done = deployment.taskEvents(job, "end")
      .filter((e) => e.how === "done");
    const doubled = starts.filter((start) =>
      done.some((end) => end.at < start.at)
    );
    if (doubled.length === 0) return undefined;
    const [{ task, run, at, worker: id }] = doubled;
    return `TWICE: run ${run} of ${task} was started at ${at} ms on ${id}, ` +
      `after a run had ended done at ${done[0].at} ms and the end was noted`;
  },
);
