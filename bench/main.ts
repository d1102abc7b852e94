/**
 * `npm run bench -- NAME`: runs one benchmark. The last line of output is its
 * result as JSON; exit code 2 means that the name is unknown.
 */
import process from "node:process";
import { describeError } from "../src/errors/index.ts";
import { stopPrograms } from "./processes.ts";
import { placementBench } from "./placement.ts";
import { rolloutBench } from "./rollout.ts";
import { slopesBench } from "./slopes.ts";
import { relayBench } from "./relay.ts";

const benches: Readonly<Record<string, () => Promise<unknown>>> = {
  placement: placementBench,
  relay: relayBench,
  rollout: rolloutBench,
  slopes: slopesBench,
};

async function main(name: string | undefined): Promise<number> {
  const bench = benches[name ?? ""];
  if (bench === undefined) {
    const names = Object.keys(benches).join(", ");
    process.stderr.write(`the benchmark must be one of ${names}\n`);
    return 2;
  }
  const figures = await bench();
  process.stdout.write(
    `${JSON.stringify({ bench: name, ...Object(figures) })}\n`,
  );
  return 0;
}

main(process.argv[2])
  .catch((err) => {
    process.stderr.write(`${describeError(err)}\n`);
    return 1;
  })
  .then((code) => {
    stopPrograms();
    process.exit(code);
  });
