/**
 * A job that repeats, whose occurrences overlap. Judges
 * LOST for the other jobs of the service.
 */
import path from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../stage/http.mjs";
import { findIdleJobs } from "../stage/judge.mjs";
import { runCase } from "../stage/stage.mjs";

const tasksPerOccurrence = 500;
const occurrences = 6;
const longTaskMs = 8_000;
const shortTaskMs = 1_000;
const shortJobs = 6;
const finishMs = 14_000;

await runCase(
  path.dirname(fileURLToPath(import.meta.url)),
  ({ phase }) => phase.estRuntimeMs,
  async (stage, trouble) => {
    await stage.open({
      entries: 3,
      routes: [
        {
          name: "rent-bill",
          pathPrefix: "/rent/",
          backend: "billing",
          priority: 1,
        },
        { name: "rent-check", pathPrefix: "/check/", backend: "billing" },
      ],
      services: ["billing"],
      workers: Array(8).fill({ backend: "billing" }),
    });
    const timed = await stage.submit("rent-bill", {
      spec: "rent",
      repeatCount: occurrences,
      startAtMs: Date.now() + 1_000,
      periodMs: trouble ? 1_000 : 9_000,
      phases: [{
        count: tasksPerOccurrence,
        cpu: 10,
        memMb: 16,
        estRuntimeMs: longTaskMs,
      }],
    });
    await sleep(8_000);
    const phases = [{
      count: 6,
      cpu: 880,
      memMb: 2_500,
      estRuntimeMs: shortTaskMs,
    }];
    const ids = [];
    for (let i = 0; i < shortJobs; i++) {
      ids.push(await stage.submit("rent-check", { spec: "check", phases }));
      await sleep(300);
    }
    await sleep(finishMs);
    const broken = await findIdleJobs(stage, ids, 30_000);
    await sleep(5_000);
    for (const id of [timed, ...ids]) {
      stage.record.add("state", { id, state: await stage.stateOf(id) });
    }
    return broken;
  },
);
