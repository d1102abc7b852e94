/**
 * `npm run fuzz -- --seed S --runs N`: runs more simulations than CI does.
 * Prints how often each event occurred and a report as JSON; the exit code is 1
 * if a guarantee was violated.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { fuzz } from "./simulate.ts";

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      runs: { type: "string", default: "200" },
    },
  });
  const startedAt = performance.now();
  const report = await fuzz(Number(values.seed), Number(values.runs));
  for (const [event, count] of [...report.eventCounts].sort()) {
    process.stdout.write(`${String(count).padStart(8)}  ${event}\n`);
  }
  const ms = Math.round(performance.now() - startedAt);
  const { runs, violations: faults, steps } = report;
  const seed = Number(values.seed);
  process.stdout.write(
    `${JSON.stringify({ seed, runs, ms, faults, steps })}\n`,
  );
  return faults === undefined ? 0 : 1;
}

main().then((code) => process.exit(code));
