/**
 * One of eight workers is lost for good. Eight jobs that last then have a task
 * each that fits nowhere, as at most one task of a step may run on a worker.
 * Judges LOST for the other jobs of the service.
 */
import path from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../stage/http.mjs";
import { findIdleJobs } from "../stage/judge.mjs";
import { runCase } from "../stage/stage.mjs";

const workers = 8;
const lastingJobs = 8;
const shortJobs = 10;
const taskMs = 1_000;
const finishMs = 14_000;

await runCase(
  path.dirname(fileURLToPath(import.meta.url)),
  () => taskMs,
  async (stage, trouble) => {
    await stage.open({
      entries: 3,
      routes: [
        {
          name: "cell-log",
          pathPrefix: "/cell/",
          backend: "fitter-app",
          maxAttempts: 2,
          sloMs: 2_500,
        },
        { name: "fit-check", pathPrefix: "/fit/", backend: "fitter-app" },
      ],
      services: ["fitter-app"],
      workers: Array(workers).fill({ backend: "fitter-app" }),
    });
    const lasting = [{
      count: workers,
      cpu: 100,
      memMb: 512,
      longRunning: true,
      antiAffinity: 1,
      maxUnavailable: 1,
    }];
    for (let i = 0; i < lastingJobs; i++) {
      await stage.submit("cell-log", { spec: "log", phases: lasting });
    }
    await sleep(5_000);
    stage.record.add("lasting-running", {
      tasks: stage.workers.flatMap((worker) => worker.tasks).length,
    });
    if (trouble) {
      const [lost] = stage.workers;
      lost.crash("lost for good");
      stage.cloud.lose(lost.machine);
      await sleep(4_500);
      stage.store.write("servers", "", lost.id, null);
    }
    await sleep(8_000);
    const phases = [{ count: 6, cpu: 880, memMb: 2_500, estRuntimeMs: taskMs }];
    const ids = [];
    for (let i = 0; i < shortJobs; i++) {
      ids.push(await stage.submit("fit-check", { spec: "check", phases }));
      await sleep(300);
    }
    await sleep(finishMs);
    const broken = await findIdleJobs(stage, ids, 8_000);
    for (const id of ids) {
      stage.record.add("state", { id, state: await stage.stateOf(id) });
    }
    return broken;
  },
);
