/**
 * Runs several fake endpoints in one process. The argument is a JSON array of
 * host names; the first line of output is a JSON object that maps each name to
 * the endpoint's address.
 */
import process from "node:process";
import { startEndpoint } from "./endpoint_server.ts";
import { seededRandom } from "./random.ts";

const seed = 7;

async function main(names: readonly string[]): Promise<void> {
  const random = seededRandom(seed);
  const servers = await Promise.all(names.map((n) => startEndpoint(n, random)));
  const addresses = Object.fromEntries(servers.map((s) => [s.name, s.address]));
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
}

main(JSON.parse(process.argv[2]) as string[]);
