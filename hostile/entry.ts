/** Entries of both kinds, each beside a stand-in of its platform. */
import { deployments, readTableCsv } from "../fakes/deployment.ts";
import { startPlatform } from "../fakes/platform_server.ts";
import { operatorConfig } from "../soak/site.ts";
import { StoreStandIn } from "../soak/store.ts";
import { editReplySchema, OperatorClient } from "../src/operator/index.ts";
import { fromCsv, Table } from "../src/table/index.ts";
import { Child, freePorts, host } from "./child.ts";

const operatorToken = "hostile-operator-token";

/** An entry that runs. */
export interface RunningEntry {
  readonly child: Child;
  /** Numbers of its ports by name. */
  readonly ports: Readonly<Record<string, number>>;
  /** Ends the entry and the stand-in of its platform. */
  stop(): Promise<void>;
}

/** Starts an entry of the program in a folder, and waits until it is ready. */
export type StartEntry = (programFolder: string) => Promise<RunningEntry>;

async function isAnswered(port: number, path: string): Promise<boolean> {
  const res = await fetch(`http://${host}:${port}${path}`)
    .catch(() => undefined);
  return res?.status === 200;
}

/** Starts an entry of batch jobs. */
export const startBatchEntry: StartEntry = async (programFolder) => {
  const store = new StoreStandIn();
  const storeAddress = await store.listen();
  store.put("op", "config", operatorConfig());
  const [callers, ready, metrics] = await freePorts(3);
  const child = new Child();
  child.start(
    programFolder,
    "batch",
    `
    entry = { id = "e", zone = "z" }
    store = { address = "${storeAddress}" }
    hosts = { address = "${host}:9" }
    placement = {}
    [listen]
    callers = "${host}:${callers}"
    ready = "${host}:${ready}"
    metrics = "${host}:${metrics}"
    `,
  );
  await child.until(() => isAnswered(ready, "/-/ready"));
  const stop = async () => {
    await child.stop();
    store.close();
  };
  return { child, ports: { callers, ready, metrics }, stop };
};

/** Imports the table of an example, also if an earlier attempt has done so. */
async function importTable(operator: number): Promise<boolean> {
  const address = `${host}:${operator}`;
  const client = new OperatorClient({
    address,
    token: operatorToken,
    who: "test",
  });
  const edit = fromCsv(Table.empty, readTableCsv(deployments.hinokuni));
  if (edit.err) throw new Error(edit.val.message);
  const reply = await client.post("/v1/table", editReplySchema, edit.val);
  return reply.ok || reply.val.code.name === "edit-conflict";
}

/** Starts an entry of single requests. */
export const startRequestEntry: StartEntry = async (programFolder) => {
  const platform = await startPlatform({ hosts: [], listLagMs: 500 });
  const [callers, control, peer] = await freePorts(3);
  const child = new Child();
  child.start(
    programFolder,
    "serve",
    `
    entry = { id = "e", zone = "fukuoka" }
    caller = { address = "${host}:${callers}" }
    operator = { address = "${host}:${control}", token = "${operatorToken}" }
    peer = { address = "${host}:${peer}", token = "hostile-peer-token-1" }
    platform = { url = "http://${platform.address}" }
    `,
  );
  await child.until(() => importTable(control));
  await child.until(() => isAnswered(callers, "/ready"));
  const stop = async () => {
    await child.stop();
    platform.close();
  };
  return { child, ports: { callers, control }, stop };
};
