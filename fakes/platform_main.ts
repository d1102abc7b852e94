/**
 * Runs the fake platform as a process. The argument is `PlatformServerOptions`
 * as JSON; the first line of output is a JSON object with the `address`.
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
