/** Commands `hosts`, `move`, `drain`, `return`, `wave` and `forget`. */
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
  type ClientOptionValues,
  type Command,
  defineClientCommand,
  print,
  printTable,
} from "./command.ts";

/** Options of all commands in this module. */
const fleetOptions = {
  pool: { type: "string", multiple: true },
  host: { type: "string", multiple: true },
  parallel: { type: "string", default: "2" },
} as const;

/** Values of `fleetOptions` and of the client options. */
interface OptionValues extends ClientOptionValues {
  readonly pool?: readonly string[];
  readonly host?: readonly string[];
  readonly parallel?: string;
}

type FleetAction = ClientAction<OptionValues>;

function defineFleetCommand(
  name: string,
  summary: string,
  usage: string,
  run: FleetAction,
): Command {
  return defineClientCommand(name, summary, usage, fleetOptions, run);
}

const listHosts: FleetAction = async (client, _args, values) => {
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

/** Creates the action of a command that changes one host. */
function changeHostAction(
  action: "drain" | "return" | "move",
): FleetAction {
  return async (client, [host, pool], values) => {
    if (host === undefined || (action === "move" && pool === undefined)) {
      return fail(codes.badCommand, `${action}: missing argument, see --help`);
    }
    const path = `/v1/hosts/${encodeURIComponent(host)}/${action}`;
    const body = action === "move" ? { pool } : undefined;
    const reply = await client.post(path, hostReplySchema, body);
    return reply.map(({ host: updated }) => {
      if (values.json) return print(JSON.stringify(updated));
      print(`${updated.name} is ${updated.state} at epoch ${updated.epoch}`);
    });
  };
}

const waveAction: FleetAction = async (client, [action, id], values) => {
  if (action === "status") return await printWaves(client, id, values);
  if (id === undefined) return fail(codes.badCommand, "missing wave id");
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

async function printWaves(
  client: OperatorClient,
  id: string | undefined,
  values: OptionValues,
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
  values: OptionValues,
): void {
  if (values.json) return print(JSON.stringify(wave));
  const reason = wave.reason === undefined ? "" : `: ${wave.reason}`;
  print(`wave ${wave.id} is ${wave.state}${reason}`);
  printTable(["host", "step"], wave.hosts.map((s) => [s.host, s.step]));
}

const forgetEntry: FleetAction = async (client, [entry]) => {
  if (entry === undefined) return fail(codes.badCommand, "missing entry name");
  const path = `/v1/entries/${encodeURIComponent(entry)}/forget`;
  const schema = v.object({ zones: v.number() });
  const reply = await client.post(path, schema);
  return reply.map(({ zones }) => print(`removed from ${zones} zones`));
};

/** Commands on hosts, waves and entries. */
export const fleetCommands: readonly Command[] = [
  defineFleetCommand("hosts", "list the hosts", "hosts", listHosts),
  defineFleetCommand(
    "move",
    "move a host to another pool",
    "move HOST POOL",
    changeHostAction("move"),
  ),
  defineFleetCommand(
    "drain",
    "take a host out of service",
    "drain HOST",
    changeHostAction("drain"),
  ),
  defineFleetCommand(
    "return",
    "return a drained host to service",
    "return HOST",
    changeHostAction("return"),
  ),
  defineFleetCommand(
    "wave",
    "plan and control maintenance waves",
    `wave plan ID [--pool POOL]... [--host HOST]... [--parallel N]
       briartide wave start|approve|pause|resume|stop ID
       briartide wave status [ID]`,
    waveAction,
  ),
  defineFleetCommand(
    "forget",
    "remove an entry permanently",
    `forget ENTRY

Use this only if the entry's host is certainly off: changes of hosts no longer
wait for the entry's confirmation.`,
    forgetEntry,
  ),
];
