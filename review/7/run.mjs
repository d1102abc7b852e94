/** A config sends a queue to another service; a submission is repeated. */
import {
  bounds,
  delay,
  limits,
  route,
  runCase,
  service,
} from "../stand_ins_2/deployment.mjs";

const job = "5c0e7a21d94b36f8";
const phases = [{ count: 2, cpu: 500, memMb: 256, estRuntimeMs: 800 }];
const runMs = 800;

/** Time after the 2xx response at which the submission is repeated, in ms. */
const repeatedAfterMs = 6_000;
const watchedMs = 10_000;
/** Time between the version without the route and the one with it, in ms. */
const configGapMs = 400;

const options = {
  zones: ["fukuoka", "fukuoka", "kumamoto", "kumamoto", "kagoshima", "oita"],
  pools: ["huvo11a", "wuno96b"],
  machinesPerPool: 4,
  capacity: { cpu: 16_000, memMb: 65_536, gpu: 0 },
};
const services = options.pools.map(service);
const other = route("r-other", "wuno96b");
const before = route("r-rent", "huvo11a");
const after = route("r-rent", "wuno96b");
const config = (version, ...routes) => ({
  version,
  routes: [...routes, other],
  services,
  limits,
});

await runCase(
  import.meta.url,
  options,
  config(7, before),
  async (deployment, isTroubled) => {
    const accepted = await deployment.submit(0, before, job, phases, runMs);
    if (accepted.status !== 200) throw new Error("the job was not accepted");
    const acceptedAt = deployment.now;
    await delay(2_500);
    const noted = deployment.taskEvents(job, "end-noted").length;
    const first = await deployment.call(1, before, "GET", job);
    if (noted === 0 || !first.text.includes("completed")) {
      throw new Error("the job was not completed in time");
    }
    if (isTroubled) {
      deployment.configure(config(9));
      await delay(configGapMs);
      deployment.configure(config(12, after));
    }
    await delay(bounds.configApplyMs + 300);
    const state = await deployment.call(2, before, "GET", job);
    await delay(acceptedAt + repeatedAfterMs - deployment.now);
    const repeated = await deployment.submit(3, before, job, phases, runMs);
    await delay(watchedMs);
    const starts = deployment.taskEvents(job, "start");
    const ends = deployment.taskEvents(job, "end")
      .filter((e) => e.how === "done");
    const doubled = starts.filter((start) =>
      ends.some((end) => end.task === start.task && end.at < start.at)
    );
    if (doubled.length === 0) return undefined;
    const [{ task, at, pool }] = doubled;
    return `TWICE: ${doubled.length} tasks were started after their run had ` +
      `ended done and the end was noted, first ${task} at ${at} ms in ` +
      `${pool}; the repeated submission got ${repeated.status}, ` +
      `the state before it ${state.status}`;
  },
);
