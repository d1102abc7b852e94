/**
 * The platform's stand-in as a process. Its argument is a JSON object with
 * `hosts` and `listLagMs`; it prints its address as its first line.
 */
import process from "node:process";
import {
  type PlatformServerOptions,
  startPlatform,
} from "./platform_server.ts";

const options = JSON.parse(process.argv[2]) as PlatformServerOptions;
startPlatform(options).then((server) => {
  process.stdout.write(`${JSON.stringify({ address: server.address })}\n`);
});
