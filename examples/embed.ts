/**
 * Uses the scheduler and a retry budget as a library, without the daemon.
 * Build and run: `npm run example`.
 */
import {
  type Host,
  RetryBudget,
  Scheduler,
  systemClock,
  type TableRow,
} from "../src/index.ts";

const host: Host = {
  name: "worker-1",
  zone: "here",
  rack: "r1",
  address: "http://127.0.0.1:9000",
  slots: 2,
  connections: 8,
  pool: "reports",
  state: "serving",
  epoch: 1,
};

const row: TableRow = {
  kind: "class",
  name: "monthly",
  pool: "reports",
  urgency: "patient",
  repeat: "repeatable",
  weight: 1,
  price: 0,
  rate: 0,
  concurrency: 0,
  queue: 10,
  deadlineMs: 0,
  runMs: 1_000,
};

const scheduler = new Scheduler(systemClock, Math.random);
scheduler.setHosts([host]);

let budget = RetryBudget.full;
for (let i = 1; i <= 3; i++) {
  scheduler.acquire({
    id: `report-${i}`,
    class: row,
    avoid: [],
    granted: ({ name }) => console.log(`report ${i} runs on ${name}`),
    refused: (code) => console.log(`report ${i}: ${code.meaning}`),
  });
}
scheduler.release(host.name, "success");
budget = budget.earn();
console.log(`retries allowed: ${budget.allows}`);
