/**
 * `npm run proof -- --seed S --runs N`: disables safety mechanisms in turn and
 * prints the shortest sequence of steps with which the simulation then violates
 * a guarantee. The last line of output is a summary as JSON; `unnoticed` lists
 * the mechanisms whose absence no sequence detected. The exit code is 1 if there
 * are any, else 0.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { mutations } from "./mutations.ts";
import { proveMutations } from "./prove_mutations.ts";
import { fuzz } from "./simulate.ts";

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      runs: { type: "string", default: "300" },
    },
  });
  const { seed, runs } = values;
  const { undetected, exitCode } = await proveMutations(
    mutations,
    (mechanisms) => fuzz(Number(seed), Number(runs), mechanisms),
    printLine,
  );
  printLine(JSON.stringify({ ...values, unnoticed: undetected }));
  return exitCode;
}

main().then((code) => process.exit(code));
