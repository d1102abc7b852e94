/**
 * Processor time of one pass of placement: waiting tasks over endpoints, of
 * which a part has room.
 */
import { jobOf } from "../sim/jobs.ts";
import { openOccurrence } from "../src/batch/index.ts";
import {
  type BookedJob,
  EndpointSession,
  JobBook,
  planStarts,
  RunTimes,
} from "../src/scheduler/index.ts";

const repetitions = 20;
const sizes = [
  { tasks: 100, endpoints: 8 },
  { tasks: 1_000, endpoints: 30 },
  { tasks: 1_000, endpoints: 300 },
];

function session(index: number): EndpointSession {
  const created = new EndpointSession({
    id: `endpoint-${index}`,
    address: "",
    pool: "p",
    zone: "z",
    life: 1,
    capacity: { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 },
    labels: ["a", `r${index % 8}`],
    draining: false,
    host: "",
  }, 0);
  created.fenced = true;
  created.readClock(0, 0);
  return created;
}

function jobs(tasks: number): readonly BookedJob[] {
  const book = new JobBook();
  const perJob = 8;
  for (let i = 0; i < tasks / perJob; i++) {
    const spec = jobOf(i, "wide", "quotes", 0);
    const row = {
      table: "",
      partition: "",
      key: spec.id,
      value: JSON.stringify(spec),
      version: 1,
    };
    book.takeInbox([{ kind: "put", row }], 0);
    const job = book.jobs.get(spec.id);
    if (job !== undefined) job.progress = openOccurrence(job.progress, spec);
  }
  return [...book.jobs.values()];
}

/** Measures a pass at several sizes. */
export function placementBench(): Promise<unknown> {
  const policy = {
    isClosed: () => false,
    isUnsettled: () => false,
    lacksTicket: () => false,
  };
  const rows = sizes.map(({ tasks, endpoints }) => {
    const waiting = jobs(tasks);
    const sessions = Array.from({ length: endpoints }, (_, i) => session(i));
    const times = Array.from({ length: repetitions }, () => {
      const startedAt = performance.now();
      const time = {
        now: 0,
        wall: 100,
        times: new RunTimes(),
        putOff: new Set<string>(),
      };
      planStarts(waiting, sessions, policy, time);
      return performance.now() - startedAt;
    }).sort((a, b) => a - b);
    const medianMs = Number(times[repetitions / 2].toFixed(2));
    return { tasks, endpoints, medianMs };
  });
  for (const row of rows) console.log(JSON.stringify(row));
  return Promise.resolve({ rows });
}
