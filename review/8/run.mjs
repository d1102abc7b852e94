/** A job is cancelled while the outcome of its submission is unknown. */
import {
  bounds,
  decodeValue,
  delay,
  limits,
  route,
  runCase,
  service,
} from "../stand_ins_2/deployment.mjs";

const job = "a21d94b36f85c0e7";
const phases = [{ count: 2, cpu: 500, memMb: 256, longRunning: true }];

/** Consumer's time limit, in ms. */
const timeLimitMs = 3_000;
/** Time after which the store performs a write without an answer, in ms. */
const lateMs = 6_000;
/** Time for which the store loses answers, in ms. */
const losingMs = 4_500;
const watchedMs = 25_000;

const options = {
  zones: ["fukuoka", "fukuoka", "kumamoto", "kumamoto", "kagoshima", "oita"],
  pools: ["huvo11a", "wuno96b"],
  machinesPerPool: 4,
  capacity: { cpu: 16_000, memMb: 65_536, gpu: 0 },
};
const queue = route("r-scan", "huvo11a", { maxAttempts: 2 });
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
    const { store } = deployment;
    let writes = 0;
    let lost = 0;
    const troubleUntil = deployment.now + losingMs;
    store.loseAnswer = ({ puts }) => {
      if (deployment.now > troubleUntil) return undefined;
      writes++;
      if (!isTroubled) return undefined;
      // Of the writes of these seconds, those that hold the job are lost.
      const isOfJob = puts.some((put) => decodeValue(put.value).includes(job));
      if (!isOfJob) return undefined;
      lost++;
      deployment.record({ event: "answer-lost", performedAfterMs: lateMs });
      return lateMs;
    };
    store.onPerformed = ({ puts, status }) => {
      if (!puts.some((put) => put.key.startsWith(job))) return;
      const keys = puts.map((put) => `${put.table} ${put.key}`);
      deployment.record({ event: "store-write", status, keys });
    };
    const accepted = await deployment.submit(0, queue, job, phases, 0);
    if (!isTroubled && accepted.status !== 200) {
      throw new Error("the job was not accepted");
    }
    if (isTroubled && accepted.status === 200) {
      throw new Error("the submission got an answer");
    }
    await delay(timeLimitMs + 100 - (deployment.now - accepted.sentAt));
    const cancelled = await deployment.call(1, queue, "DELETE", job);
    const isAcknowledged = cancelled.status === 410 ||
      (cancelled.status >= 200 && cancelled.status < 300);
    if (!isAcknowledged) throw new Error("the cancel was not acknowledged");
    const cancelledAt = deployment.now;
    await delay(watchedMs);
    deployment.record({ event: "writes", inTrouble: writes, lost });
    const state = await deployment.call(2, queue, "GET", job);
    const bound = cancelledAt + bounds.cancelMs;
    const lateStarts = deployment.taskEvents(job, "start")
      .filter((e) => e.at > bound);
    const running = deployment.workers.flatMap((worker) =>
      [...worker.runs.values()].filter((r) => r.task.startsWith(job))
    );
    if (lateStarts.length === 0 && running.length === 0) return undefined;
    return `UNASKED: the cancel was acknowledged with ${cancelled.status} at ` +
      `${cancelledAt} ms; ${lateStarts.length} tasks were started over ` +
      `${bounds.cancelMs} ms later, and ${running.length} still run ` +
      `${watchedMs} ms later; the state is ${state.text}`;
  },
);
