/**
 * Runs a deployment on separate processes: the fake platform, the fake
 * endpoints, and six entries, with TCP proxies on the links between entries.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { existsSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { request } from "undici";
import {
  editReplySchema,
  OperatorClient,
  statusReplySchema,
} from "../src/operator/index.ts";
import type { PlatformListedHost } from "../src/platform/index.ts";
import { fromCsv, Table } from "../src/table/index.ts";
import { type Deployment, listWorkers, readTableCsv } from "./deployment.ts";
import type { EndpointRecord } from "./violations.ts";
import {
  startTcpProxy,
  type TcpProxy,
  type TcpProxyMode,
} from "./tcp_proxy.ts";
import { listen } from "./json_http.ts";

const endpointProcessCount = 4;
const listLagMs = 500;
const readyTimeoutMs = 20_000;
const stopTimeoutMs = 15_000;
/** Token of the operator API of every entry. */
export const operatorToken = "stack-operator-token";
const peerToken = "stack-peer-token-0001";

/** Id, zone and listen addresses of one entry. */
export interface EntryAddresses {
  readonly id: string;
  readonly zone: string;
  readonly caller: string;
  readonly operator: string;
  readonly peer: string;
}

/** Settings that tests change. Times are in ms. */
export interface StackOptions {
  readonly bootMs?: number;
  readonly leaseMs?: number;
  readonly pollMs?: number;
  /** File to which the logs of all entries are appended. */
  readonly logFile?: string;
  /** Whether hosts move between pools on their own; true by default. */
  readonly moves?: boolean;
}

/** An entry, its settings file and its process. */
interface RunningEntry {
  readonly entry: EntryAddresses;
  readonly settings: string;
  child: ChildProcess;
}

/** A running deployment. */
export class Stack {
  readonly entries: EntryAddresses[] = [];
  /** URL of the fake endpoint of each host. */
  readonly endpoints: Record<string, string> = {};
  /** Address of the fake platform. */
  platform = "";
  #dir = mkdtempSync(join(tmpdir(), "briartide-"));
  #processes = new Map<string, RunningEntry>();
  #fakeProcesses: ChildProcess[] = [];
  #proxies: TcpProxy[] = [];

  private constructor(
    readonly deployment: Deployment,
    private readonly options: StackOptions,
  ) {}

  /** Starts a deployment and waits until every entry is ready. */
  static async start(
    deployment: Deployment,
    options: StackOptions = {},
  ): Promise<Stack> {
    const stack = new Stack(deployment, options);
    await stack.#startEndpoints();
    await stack.#assignAddresses();
    await stack.#startPlatform();
    await stack.#startProxies();
    for (const entry of stack.entries) stack.startEntry(entry.id);
    await stack.#importTable();
    await stack.waitFor(() => stack.#allReady(), readyTimeoutMs);
    return stack;
  }

  /** Returns the process ids by entry id or `helper-N` for the fakes. */
  pids(): Readonly<Record<string, number>> {
    const pids: Record<string, number> = {};
    for (const [id, running] of this.#processes) {
      pids[id] = running.child.pid ?? 0;
    }
    this.#fakeProcesses.forEach((child, i) =>
      pids[`helper-${i}`] = child.pid ?? 0
    );
    return pids;
  }

  /** Returns a client of an entry's operator API. */
  operator(index = 0, who = "stack"): OperatorClient {
    const address = this.entries[index].operator;
    return new OperatorClient({ address, token: operatorToken, who });
  }

  /** Starts the process of an entry. Throws if the id is unknown. */
  startEntry(id: string): void {
    const entry = this.entries.find((e) => e.id === id);
    if (entry === undefined) throw new Error(`unknown entry ${id}`);
    const settings = join(this.#dir, `${id}.toml`);
    writeFileSync(settings, this.#renderSettings(entry));
    const binary = "dist/briartide";
    const [program, ...args] = existsSync(binary)
      ? [binary]
      : [process.execPath, "dist/briartide.cjs"];
    const child = spawn(program, [...args, "serve", "--settings", settings], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    child.stdout?.on("data", (bytes) => {
      if (this.options.logFile === undefined) return;
      writeFileSync(this.options.logFile, bytes, { flag: "a" });
    });
    this.#processes.set(id, { entry, settings, child });
  }

  /** Sends a signal to the process of an entry. */
  signal(id: string, signal: NodeJS.Signals): void {
    this.#processes.get(id)?.child.kill(signal);
  }

  /**
   * Waits until the process of an entry ends; returns its exit code, or null if
   * a signal ended it or it was never started.
   */
  async waitForExit(id: string): Promise<number | null> {
    const child = this.#processes.get(id)?.child;
    if (child === undefined) return null;
    if (child.exitCode !== null || child.signalCode !== null) {
      return child.exitCode;
    }
    return await new Promise((resolve) => child.once("exit", resolve));
  }

  /** Sets the mode of all links that `selects` accepts in either direction. */
  setLinkMode(
    mode: TcpProxyMode,
    selects: (from: EntryAddresses, to: EntryAddresses) => boolean,
  ): void {
    const byId = new Map(this.entries.map((e) => [e.id, e]));
    for (const proxy of this.#proxies) {
      const from = byId.get(proxy.from) as EntryAddresses;
      const to = byId.get(proxy.to) as EntryAddresses;
      if (selects(from, to) || selects(to, from)) proxy.setMode(mode);
    }
  }

  /** Cuts a zone from the other zones and the platform, or reconnects it. */
  async setZoneCut(zone: string, cut: boolean): Promise<void> {
    const mode = cut ? "refuse" : "pass";
    this.setLinkMode(mode, (a, b) => a.zone === zone && b.zone !== zone);
    await this.callControl(this.platform, "faults", {
      cutZones: cut ? [zone] : [],
    });
  }

  /** Calls the control interface of a fake: POST with a body, GET without. */
  async callControl(
    address: string,
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const base = address.startsWith("http") ? address : `http://${address}`;
    const res = await request(`${base}/control/${path}`, {
      method: body === undefined ? "GET" : "POST",
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return await res.body.json();
  }

  /** Reads the records of all endpoints. */
  async readRecords(): Promise<EndpointRecord[]> {
    const reads = Object.values(this.endpoints)
      .map((url) => this.callControl(url, "runs"));
    return await Promise.all(reads) as EndpointRecord[];
  }

  /** Polls until a condition holds; throws after `timeoutMs`. */
  async waitFor(
    condition: () => Promise<boolean>,
    timeoutMs: number,
  ): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    while (!await condition()) {
      if (Date.now() > deadline) throw new Error(`timeout of ${timeoutMs} ms`);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  /** Stops all processes; kills entries that do not stop within the timeout. */
  async stop(): Promise<void> {
    for (const { child } of this.#processes.values()) {
      child.kill("SIGCONT");
      child.kill("SIGTERM");
    }
    const timer = setTimeout(() => this.#killAll(), stopTimeoutMs);
    await Promise.all(
      [...this.#processes.keys()].map((id) => this.waitForExit(id)),
    );
    clearTimeout(timer);
    for (const child of this.#fakeProcesses) child.kill("SIGKILL");
    for (const proxy of this.#proxies) proxy.close();
    rmSync(this.#dir, { recursive: true, force: true });
  }

  #killAll(): void {
    for (const { child } of this.#processes.values()) child.kill("SIGKILL");
  }

  async #startEndpoints(): Promise<void> {
    const names = listWorkers(this.deployment).map((h) => h.name);
    const groups: string[][] = Array.from(
      { length: endpointProcessCount },
      () => [],
    );
    names.forEach((name, i) => groups[i % endpointProcessCount].push(name));
    await Promise.all(groups.map(async (group) => {
      const line = await this.#startFake("dist/endpoints.cjs", group);
      Object.assign(this.endpoints, line);
    }));
  }

  async #assignAddresses(): Promise<void> {
    for (const [i, zone] of this.deployment.entryZones.entries()) {
      const [caller, operator, peer] = await freeAddresses(3);
      const id = `entry-${i + 1}`;
      this.entries.push({ id, zone, caller, operator, peer });
    }
  }

  async #startPlatform(): Promise<void> {
    const workers = listWorkers(this.deployment)
      .map((h) => ({ ...h, address: this.endpoints[h.name] }));
    const entries = this.entries.map((e): PlatformListedHost => ({
      name: e.id,
      role: "entry",
      state: "live",
      zone: e.zone,
      rack: `${e.zone}-r0`,
      address: `http://${e.caller}`,
      pool: "",
      slots: 0,
      connections: 0,
    }));
    const options = { hosts: [...workers, ...entries], listLagMs };
    const line = await this.#startFake("dist/platform.cjs", options);
    this.platform = String((line as { address: string }).address);
  }

  /** Starts a fake and returns the JSON object of its first output line. */
  async #startFake(program: string, argument: unknown): Promise<object> {
    const child = spawn(
      process.execPath,
      [program, JSON.stringify(argument)],
      { stdio: ["ignore", "pipe", "inherit"] },
    );
    this.#fakeProcesses.push(child);
    if (child.stdout === null) throw new Error(`${program} has no stdout`);
    const lines = createInterface({ input: child.stdout });
    for await (const line of lines) return JSON.parse(line);
    throw new Error(`${program} exited before it printed a line`);
  }

  /**
   * Starts a proxy for each pair of entries. The entry with the lower peer
   * address opens the connection.
   */
  async #startProxies(): Promise<void> {
    for (const from of this.entries) {
      for (const to of this.entries) {
        if (from.peer >= to.peer) continue;
        this.#proxies.push(await startTcpProxy(from.id, to.id, to.peer));
      }
    }
  }

  /** Returns the settings file of an entry. */
  #renderSettings(entry: EntryAddresses): string {
    const { pollMs = 1000, leaseMs = 3000, bootMs = 8000, moves = true } =
      this.options;
    const seeds = this.entries.filter((e) => e.id !== entry.id)
      .map((e) => JSON.stringify(e.peer)).join(", ");
    const dial = this.#proxies.filter((r) => r.from === entry.id).map((r) => {
      const target = this.entries.find((e) => e.id === r.to)?.peer;
      return `"${target}" = "${r.address}"`;
    });
    return `
[entry]
id = "${entry.id}"
zone = "${entry.zone}"
[caller]
address = "${entry.caller}"
[operator]
address = "${entry.operator}"
token = "${operatorToken}"
[peer]
address = "${entry.peer}"
token = "${peerToken}"
seeds = [${seeds}]
dial = { ${dial.join(", ")} }
[platform]
url = "http://${this.platform}"
list_lag_ms = ${listLagMs}
[timing]
poll_ms = ${pollMs}
lease_ms = ${leaseMs}
boot_ms = ${bootMs}
orphan_ms = 3000
min_stay_ms = 2000
[moves]
enabled = ${moves}
`;
  }

  /** Commits the table; a conflict means that an earlier attempt succeeded. */
  async #importTable(): Promise<void> {
    const edit = fromCsv(Table.empty, readTableCsv(this.deployment));
    if (edit.err) throw new Error(edit.val.message);

    await this.waitFor(async () => {
      const reply = await this.operator()
        .post("/v1/table", editReplySchema, edit.val);
      return reply.ok || reply.val.code.name === "edit-conflict";
    }, readyTimeoutMs);
  }

  /** Returns whether every entry is ready and the entries own all hosts. */
  async #allReady(): Promise<boolean> {
    let owned = 0;
    for (let i = 0; i < this.entries.length; i++) {
      const status = await this.operator(i)
        .get("/v1/status", statusReplySchema);
      if (status.err || !status.val.ready) return false;
      owned += status.val.ownedHosts;
    }
    return owned === Object.keys(this.endpoints).length;
  }
}

/**
 * Range of the entries' ports. It is below the ephemeral range, so that no
 * outgoing connection occupies one of them.
 */
const firstPort = 18_000;
const lastPort = 31_000;
let nextPort = firstPort + process.pid % 10_000;

/** Finds loopback addresses on which no server listens. */
async function freeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    nextPort = nextPort >= lastPort ? firstPort : nextPort + 1;
    const server = createServer();
    try {
      addresses.push(await listen(server, nextPort));
    } catch {
      continue;
    } finally {
      server.close();
    }
  }
  return addresses;
}
