/**
 * Not a case, as it takes 190 s: jobs that are handed in after the first ones
 * of their service have expired, 150 s after their end. Nothing is disturbed.
 * Exits like a case; writes record.txt beside it.
 */
import path from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../stage/http.mjs";
import { findIdleJobs } from "../stage/judge.mjs";
import { runCase } from "../stage/stage.mjs";

const taskMs = 500;
const untilExpiredMs = 165_000;
const finishMs = 14_000;
const maxMs = 220_000;

await runCase(
  path.dirname(fileURLToPath(import.meta.url)),
  () => taskMs,
  async (stage) => {
    await stage.open({
      entries: 3,
      routes: [
        { name: "fit-check", pathPrefix: "/fit/", backend: "fitter-app" },
      ],
      services: ["fitter-app"],
      workers: Array(4).fill({ backend: "fitter-app" }),
    });
    const phases = [{ count: 4, cpu: 880, memMb: 2_500, estRuntimeMs: taskMs }];
    for (let i = 0; i < 10; i++) {
      await stage.submit("fit-check", { spec: "check", phases });
    }
    await sleep(untilExpiredMs);
    const ids = [];
    for (let i = 0; i < 5; i++) {
      ids.push(await stage.submit("fit-check", { spec: "check", phases }));
    }
    await sleep(finishMs);
    const broken = await findIdleJobs(stage, ids, 6_000);
    for (const id of ids) {
      stage.record.add("state", { id, state: await stage.stateOf(id) });
    }
    return broken;
  },
  maxMs,
);
