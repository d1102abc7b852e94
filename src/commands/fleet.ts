/** `briartide hosts`, `move`, `drain`, `return`, `wave`, and `forget`. */
import * as v from "valibot";
import { codes, fail, type Failure } from "../errors/index.ts";
import type { Result } from "ts-results";
import {
  hostReplySchema,
  hostsReplySchema,
  type OperatorClient,
  waveReplySchema,
  wavesReplySchema,
} from "../operator/index.ts";
import {
  type ClientAction,
  clientCommand,
  type ClientValues,
  type Command,
  print,
  printTable,
} from "./command.ts";

const options = {
  pool: { type: "string", multiple: true },
  host: { type: "string", multiple: true },
  parallel: { type: "string", default: "2" },
} as const;

interface Values extends ClientValues {
  readonly pool?: readonly string[];
  readonly host?: readonly string[];
  readonly parallel?: string;
}

type Action = ClientAction<Values>;

function define(
  name: string,
  summary: string,
  usage: string,
  action: Action,
): Command {
  return clientCommand(name, summary, usage, options, action);
}

const listHosts: Action = async (client, _args, values) => {
  const reply = await client.get("/v1/hosts", hostsReplySchema);
  return reply.map(({ hosts }) => {
    if (values.json) return print(JSON.stringify(hosts));
    printTable(
      ["host", "pool", "state", "zone", "rack", "epoch", "target", "cause"],
      hosts.map((h) => [
        h.name,
        h.pool,
        h.state,
        h.zone,
        h.rack,
        h.epoch,
        h.target,
        h.cause,
      ]),
    );
  });
};

function changeHost(
  action: "drain" | "return" | "move",
): Action {
  return async (client, [host, pool], values) => {
    if (host === undefined || (action === "move" && pool === undefined)) {
      return fail(codes.badCommand, `${action} needs its arguments`);
    }
    const path = `/v1/hosts/${encodeURIComponent(host)}/${action}`;
    const body = action === "move" ? { pool } : undefined;
    const reply = await client.post(path, hostReplySchema, body);
    return reply.map(({ host: after }) => {
      if (values.json) return print(JSON.stringify(after));
      print(`${after.name} is ${after.state} at epoch ${after.epoch}`);
    });
  };
}

const wave: Action = async (client, [action, id], values) => {
  if (action === "status") return await waveStatus(client, id, values);
  if (id === undefined) return fail(codes.badCommand, "name a wave");
  if (action === "plan") {
    const reply = await client.post("/v1/waves", waveReplySchema, {
      id,
      hosts: values.host ?? [],
      pools: values.pool ?? [],
      parallel: Number(values.parallel),
    });
    return reply.map(({ wave }) => printWave(wave, values));
  }
  if (!/^(start|approve|pause|resume|stop)$/.test(action ?? "")) {
    return fail(codes.badCommand, `unknown action ${action ?? ""}`);
  }
  const path = `/v1/waves/${encodeURIComponent(id)}/${action}`;
  const reply = await client.post(path, waveReplySchema);
  return reply.map(({ wave }) => printWave(wave, values));
};

async function waveStatus(
  client: OperatorClient,
  id: string | undefined,
  values: Values,
): Promise<Result<void, Failure>> {
  const reply = await client.get("/v1/waves", wavesReplySchema);
  return reply.map(({ waves }) => {
    const shown = waves.filter((w) => id === undefined || w.id === id);
    if (values.json) return print(JSON.stringify(shown));
    for (const wave of shown) printWave(wave, values);
  });
}

function printWave(
  wave: v.InferOutput<typeof waveReplySchema>["wave"],
  values: Values,
): void {
  if (values.json) return print(JSON.stringify(wave));
  const reason = wave.reason === undefined ? "" : `: ${wave.reason}`;
  print(`wave ${wave.id} is ${wave.state}${reason}`);
  printTable(["host", "step"], wave.hosts.map((s) => [s.host, s.step]));
}

const forget: Action = async (client, [entry]) => {
  if (entry === undefined) return fail(codes.badCommand, "name an entry");
  const path = `/v1/entries/${encodeURIComponent(entry)}/forget`;
  const schema = v.object({ zones: v.number() });
  const reply = await client.post(path, schema);
  return reply.map(({ zones }) => print(`removed from ${zones} zones`));
};

/** Commands on hosts and waves. */
export const fleetCommands: readonly Command[] = [
  define("hosts", "list the hosts", "hosts", listHosts),
  define(
    "move",
    "move a host to another pool",
    "move HOST POOL",
    changeHost("move"),
  ),
  define(
    "drain",
    "take a host out of service",
    "drain HOST",
    changeHost("drain"),
  ),
  define(
    "return",
    "return a drained host",
    "return HOST",
    changeHost("return"),
  ),
  define(
    "wave",
    "plan and steer maintenance waves",
    `wave plan ID [--pool POOL]... [--host HOST]... [--parallel N]
       briartide wave start|approve|pause|resume|stop ID
       briartide wave status [ID]`,
    wave,
  ),
  define(
    "forget",
    "declare an entry gone for good",
    `forget ENTRY

Only for an entry whose host is certainly off: changes of hosts no longer
wait for its confirmation.`,
    forget,
  ),
];
