/** All active entries of a larger deployment are killed at the same moment. */
import {
  delay,
  limits,
  route,
  runCase,
  service,
} from "../stand_ins_2/deployment.mjs";

const jobCount = 10;
const phases = [{ count: 1, cpu: 500, memMb: 256, estRuntimeMs: 800 }];
const runMs = 800;
/** `visible_ms` and 2 s more: age from which waiting jobs have to be counted. */
const countedAfterMs = 5_000;
const watchedMs = 14_000;
const sampleMs = 400;

const zones = ["fukuoka", "kumamoto", "kagoshima", "oita"]
  .flatMap((zone) => [zone, zone, zone]);
const options = {
  zones,
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
    // Entries that write rows of their own to the store: the active ones.
    const active = new Set();
    await delay(4_000);
    deployment.store.onPerformed = ({ puts }) => {
      for (const { key } of puts) active.add(key);
    };
    await delay(1_500);
    const entries = deployment.entries;
    const killed = isTroubled ? entries.filter((e) => active.has(e.name)) : [];
    const left = entries.map((_, i) => i)
      .filter((i) => !killed.includes(entries[i]));
    if (left.length === 0) throw new Error("no entry is idle");
    for (const { child } of killed) child.kill("SIGKILL");
    deployment.record({ event: "killed", count: killed.length });
    const ids = Array.from(
      { length: jobCount },
      (_, i) => `d94b36f85c0e7a${i.toString(16).padStart(2, "0")}`,
    );
    for (const [i, id] of ids.entries()) {
      const entry = left[i % left.length];
      const { status } = await deployment.submit(
        entry,
        queue,
        id,
        phases,
        runMs,
      );
      if (status !== 200) throw new Error("a job was not accepted");
    }
    const acceptedAt = deployment.now;
    const until = deployment.now + watchedMs;
    let wrong = 0;
    let last;
    while (deployment.now < until) {
      await delay(sampleMs);
      const { now } = deployment;
      const { status, text } = await deployment.call(left[0], queue, "GET", "");
      if (status !== 200 || now < acceptedAt + countedAfterMs) continue;
      const waiting = ids.filter((id) =>
        deployment.taskEvents(id, "start").length === 0
      );
      if (JSON.parse(text).pending >= waiting.length / 2) continue;
      wrong++;
      last = `${text} at ${now} ms, while ${waiting.length} had not begun`;
    }
    if (wrong === 0) return undefined;
    return `MIXED: ${wrong} answers gave under half of the jobs that wait, ` +
      `the last ${last}`;
  },
);
