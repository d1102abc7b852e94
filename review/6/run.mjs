/** A job declares its sizes in the wrong unit, so that it can never run. */
import {
  delay,
  limits,
  route,
  runCase,
  service,
} from "../stand_ins_2/deployment.mjs";

const job = "c0e7a21d94b36f85";
const runMs = 2_100;
/** Sound jobs that come beside it, so that it is 1 of 20. */
const soundJobs = Array.from(
  { length: 19 },
  (_, i) => `c0e7a21d94b36f${i.toString(16).padStart(2, "0")}`,
);
const soundPhases = [{ count: 6, cpu: 880, memMb: 2_500, estRuntimeMs: 1_000 }];
const soundRunMs = 1_000;
/** Time in which all of them come, in ms. */
const trafficMs = 3_000;
/** As many tasks as the largest job of rent-bill; each needs all of the memory of
 * a worker. */
const taskCount = 32;
const cpu = 2_000;
const memMb = 65_536;
const bytesPerMb = 1_048_576;
const watchedMs = 60_000;

/** Own ends of a process, and machines with them, that break the rule. */
const maxOwnEnds = 3;
const minMachines = 2;

const options = {
  zones: ["fukuoka", "fukuoka", "kumamoto", "kumamoto", "kagoshima", "oita"],
  pools: ["huvo11a", "wuno96b", "lohu93e"],
  machinesPerPool: 8,
  capacity: { cpu: 16_000, memMb: 65_536, gpu: 0 },
  restartAfterMs: 1_000,
};
const queue = route("r-rent", "huvo11a", { priority: 1 });
const other = route("r-other", "wuno96b");
const config = {
  version: 7,
  routes: [queue, other],
  services: [
    service("huvo11a"),
    service("wuno96b"),
    { ...service("lohu93e"), standby: true },
  ],
  limits,
};

await runCase(
  import.meta.url,
  options,
  config,
  async (deployment, isTroubled) => {
    const phase = {
      count: taskCount,
      cpu,
      memMb: isTroubled ? memMb * bytesPerMb : memMb,
      estRuntimeMs: runMs,
    };
    const answers = [deployment.submit(0, queue, job, [phase], runMs)];
    for (const [i, id] of soundJobs.entries()) {
      const entry = i % options.zones.length;
      answers.push(
        deployment.submit(entry, queue, id, soundPhases, soundRunMs),
      );
      await delay(trafficMs / (soundJobs.length + 1));
    }
    const [{ status }] = await Promise.all(answers);
    if (status !== 200) throw new Error("the job was not accepted");
    const until = deployment.now + watchedMs;
    let calls = 0;
    let unanswered = 0;
    while (deployment.now < until) {
      for (const [entry] of options.zones.entries()) {
        const answer = await deployment.call(entry, queue, "GET", job);
        calls++;
        if (answer.status === undefined) unanswered++;
      }
      await delay(1_000);
    }
    const state = await deployment.call(2, queue, "GET", job);
    deployment.record({ event: "calls", calls, unanswered, state: state.text });
    const ends = [...deployment.ownEnds];
    const often = ends.filter(([, count]) => count >= maxOwnEnds);
    if (often.length < minMachines) return undefined;
    return `Fault: after one job, processes ended by themselves: ` +
      ends.map(([name, count]) => `${name} ${count} times`).join(", ") +
      `; ${unanswered} of ${calls} calls got no answer`;
  },
);
