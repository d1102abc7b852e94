/**
 * Several endpoints in one process. Its argument is a JSON list of host
 * names; its first line maps each name to its address.
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
