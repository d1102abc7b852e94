/**
 * `npm run stack`: starts a deployment and runs it until SIGTERM or SIGINT. The
 * first line of output is a JSON object with all addresses.
 *
 * The printed control URL accepts `POST /links {mode, a, b}`, which sets the
 * mode of the links between two entries or zones (`*` matches all);
 * `POST /entries {id, signal}`, which sends a signal to an entry; and
 * `POST /entries {id, start: true}`, which starts it again.
 */
import { createServer } from "node:http";
import process from "node:process";
import { parseArgs } from "node:util";
import { deployments } from "./deployment.ts";
import { listen, readRequestBody, sendJson } from "./json_http.ts";
import type { TcpProxyMode } from "./tcp_proxy.ts";
import { type EntryAddresses, operatorToken, Stack } from "./stack.ts";

/** Body of `POST /links`. */
interface LinksBody {
  readonly mode: TcpProxyMode;
  readonly a: string;
  readonly b: string;
}

/** Body of `POST /entries`. */
interface EntriesBody {
  readonly id: string;
  readonly signal?: NodeJS.Signals;
  readonly start?: boolean;
}

/** Returns whether an entry has the id or zone `name`, or `name` is `*`. */
function isSelected(entry: EntryAddresses, name: string): boolean {
  return name === "*" || entry.id === name || entry.zone === name;
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      deployment: { type: "string", default: "hinokuni" },
      log: { type: "string" },
    },
  });
  const deployment = deployments[values.deployment];
  if (deployment === undefined) {
    const names = Object.keys(deployments).join(", ");
    process.stderr.write(`--deployment must be one of ${names}\n`);
    process.exit(2);
  }
  const stack = await Stack.start(deployment, { logFile: values.log });
  const server = createServer(async (req, res) => {
    const body = JSON.parse(
      (await readRequestBody(req)).toString("utf8") || "{}",
    );
    if (req.url === "/links") {
      const { mode, a, b } = body as LinksBody;
      stack.setLinkMode(mode, (x, y) => isSelected(x, a) && isSelected(y, b));
    } else if (req.url === "/entries") {
      const { id, signal, start } = body as EntriesBody;
      if (signal !== undefined) stack.signal(id, signal);
      if (start) stack.startEntry(id);
    } else {
      return sendJson(res, 404, {});
    }
    sendJson(res, 200, { pids: stack.pids() });
  });
  const control = `http://${await listen(server)}`;
  const { platform } = stack;
  process.stdout.write(`${
    JSON.stringify({
      deployment: deployment.name,
      operatorToken,
      entries: stack.entries,
      platform: {
        url: `http://${platform}`,
        faults: `http://${platform}/control/faults`,
        hosts: `http://${platform}/control/hosts`,
      },
      endpoints: Object.fromEntries(
        Object.entries(stack.endpoints).map(([name, url]) => [name, {
          url,
          mode: `${url}/control/mode`,
          runs: `${url}/control/runs`,
        }]),
      ),
      control,
      pids: stack.pids(),
    })
  }\n`);
  const stop = async () => {
    server.close();
    await stack.stop();
    process.exit(0);
  };
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

main();
