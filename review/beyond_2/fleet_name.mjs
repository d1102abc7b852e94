/** A service of the config has the name "fleet". */
import process from "node:process";
import {
  bounds,
  delay,
  limits,
  route,
  runCase,
  service,
} from "../stand_ins_2/deployment.mjs";

const jobCount = 6;
const phases = [{ count: 2, cpu: 500, memMb: 256, estRuntimeMs: 800 }];
const runMs = 800;
const idleMs = 3_000;
const watchedMs = 20_000;
const sampleMs = 100;

/** With the trouble, the day's names contain this one. */
const isNamedFleet = process.env.TROUBLE !== "0";
const pool = isNamedFleet ? "fleet" : "huvo11a";

const options = {
  zones: ["fukuoka", "fukuoka", "kumamoto", "kumamoto", "kagoshima", "oita"],
  pools: [pool, "wuno96b"],
  machinesPerPool: 4,
  capacity: { cpu: 16_000, memMb: 65_536, gpu: 0 },
};
const queue = route("r-rent", pool);
const config = {
  version: 7,
  routes: [queue, route("r-other", "wuno96b")],
  services: options.pools.map(service),
  limits,
};

await runCase(import.meta.url, options, config, async (deployment) => {
  const ids = Array.from(
    { length: jobCount },
    (_, i) => `f85c0e7a21d94b${i.toString(16).padStart(2, "0")}`,
  );
  for (const [i, id] of ids.entries()) {
    const { status } = await deployment.submit(i, queue, id, phases, runMs);
    if (status !== 200) throw new Error("a job was not accepted");
  }
  await delay(bounds.finishS * 1_000);
  let idleSince = deployment.now;
  let longest = 0;
  const until = deployment.now + watchedMs;
  while (deployment.now < until) {
    const running = deployment.workers.some((w) => w.runs.size > 0);
    const isOpen = ids.some((id) =>
      deployment.taskEvents(id, "end").length < phases[0].count
    );
    const hasWorkers = deployment.workers.some((w) => w.identity.pool === pool);
    if (running || !isOpen || !hasWorkers) idleSince = deployment.now;
    longest = Math.max(longest, deployment.now - idleSince);
    await delay(sampleMs);
  }
  const states = [];
  for (const id of ids) {
    states.push((await deployment.call(1, queue, "GET", id)).text);
  }
  const starts = ids.flatMap((id) => deployment.taskEvents(id, "start"));
  if (longest < idleMs) return undefined;
  return `LOST: the accepted jobs of the service ${pool} had nothing running ` +
    `for ${longest} ms, ${bounds.finishS} s after the traffic, while all of ` +
    `the service was free; ${starts.length} tasks were started; ` +
    `the states are ${states.join(" ")}`;
});
