/**
 * `npm run proof -- --seed S --runs N`: disables safety mechanisms in turn and
 * prints the shortest sequence of steps with which the simulation then violates
 * a guarantee. The last line of output is a summary as JSON; `unnoticed` lists
 * the mechanisms whose absence no sequence detected.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { mutations } from "./mutations.ts";
import { fuzz } from "./simulate.ts";

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      runs: { type: "string", default: "300" },
    },
  });
  const undetected: string[] = [];
  for (const { name, mechanisms } of mutations) {
    const { seed, runs } = values;
    const report = await fuzz(Number(seed), Number(runs), mechanisms);
    if (report.violations === undefined) {
      undetected.push(name);
      process.stdout.write(`UNDETECTED  without ${name}\n`);
      continue;
    }
    process.stdout.write(
      `detected    without ${name}: ${report.violations[0]}\n`,
    );
    process.stdout.write(`  ${JSON.stringify(report.steps)}\n`);
  }
  process.stdout.write(
    `${JSON.stringify({ ...values, unnoticed: undetected })}\n`,
  );
  return 0;
}

main().then((code) => process.exit(code));
