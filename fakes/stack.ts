/**
 * A whole deployment as separate processes: the platform's stand-in, the
 * endpoints, and six entries, with relays on the links between the entries.
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
import type { ListedHost } from "../src/platform/index.ts";
import { fromCsv, Table } from "../src/table/index.ts";
import {
  type Deployment,
  deploymentHosts,
  deploymentTable,
} from "./deployment.ts";
import type { EndpointRecord } from "./evidence.ts";
import { type Relay, type RelayMode, startRelay } from "./relay.ts";
import { listen } from "./json_http.ts";

const endpointProcesses = 4;
const listLagMs = 500;
const readyLimitMs = 20_000;
const stopLimitMs = 15_000;
export const operatorToken = "stack-operator-token";
const peerToken = "stack-peer-token-0001";

/** Addresses of one entry. */
export interface EntryAddresses {
  readonly id: string;
  readonly zone: string;
  readonly caller: string;
  readonly operator: string;
  readonly peer: string;
}

/** Times that tests shorten. */
export interface StackOptions {
  readonly bootMs?: number;
  readonly leaseMs?: number;
  readonly pollMs?: number;
  /** File that collects the entries' logs. */
  readonly logFile?: string;
  readonly moves?: boolean;
}

interface Running {
  readonly entry: EntryAddresses;
  readonly settings: string;
  child: ChildProcess;
}

/** A started deployment. */
export class Stack {
  readonly entries: EntryAddresses[] = [];
  readonly endpoints: Record<string, string> = {};
  platform = "";
  #dir = mkdtempSync(join(tmpdir(), "briartide-"));
  #running = new Map<string, Running>();
  #helpers: ChildProcess[] = [];
  #relays: Relay[] = [];

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
    await stack.#startRelays();
    for (const entry of stack.entries) stack.startEntry(entry.id);
    await stack.#importTable();
    await stack.waitFor(() => stack.#allReady(), readyLimitMs);
    return stack;
  }

  /** Process ids by role. */
  pids(): Readonly<Record<string, number>> {
    const pids: Record<string, number> = {};
    for (const [id, running] of this.#running) {
      pids[id] = running.child.pid ?? 0;
    }
    this.#helpers.forEach((child, i) => pids[`helper-${i}`] = child.pid ?? 0);
    return pids;
  }

  /** A client of an entry's operator API. */
  operator(index = 0, who = "stack"): OperatorClient {
    const address = this.entries[index].operator;
    return new OperatorClient({ address, token: operatorToken, who });
  }

  /** Starts an entry's process. */
  startEntry(id: string): void {
    const entry = this.entries.find((e) => e.id === id);
    if (entry === undefined) throw new Error(`no entry ${id}`);
    const settings = join(this.#dir, `${id}.toml`);
    writeFileSync(settings, this.#settingsOf(entry));
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
    this.#running.set(id, { entry, settings, child });
  }

  /** Sends a signal to an entry's process. */
  signal(id: string, signal: NodeJS.Signals): void {
    this.#running.get(id)?.child.kill(signal);
  }

  /** Waits for the end of an entry's process; returns its exit code. */
  async ended(id: string): Promise<number | null> {
    const child = this.#running.get(id)?.child;
    if (child === undefined) return null;
    if (child.exitCode !== null || child.signalCode !== null) {
      return child.exitCode;
    }
    return await new Promise((resolve) => child.once("exit", resolve));
  }

  /** Sets the mode of the links between two groups of entries. */
  cutLinks(
    mode: RelayMode,
    between: (from: EntryAddresses, to: EntryAddresses) => boolean,
  ): void {
    const byId = new Map(this.entries.map((e) => [e.id, e]));
    for (const relay of this.#relays) {
      const from = byId.get(relay.from) as EntryAddresses;
      const to = byId.get(relay.to) as EntryAddresses;
      if (between(from, to) || between(to, from)) relay.setMode(mode);
    }
  }

  /** Cuts a zone from the other zones and from the platform, or heals it. */
  async cutZone(zone: string, cut: boolean): Promise<void> {
    const mode = cut ? "refuse" : "pass";
    this.cutLinks(mode, (a, b) => a.zone === zone && b.zone !== zone);
    await this.control(this.platform, "faults", {
      cutZones: cut ? [zone] : [],
    });
  }

  /** Calls a stand-in's control interface. */
  async control(
    address: string,
    what: string,
    body?: unknown,
  ): Promise<unknown> {
    const base = address.startsWith("http") ? address : `http://${address}`;
    const res = await request(`${base}/control/${what}`, {
      method: body === undefined ? "GET" : "POST",
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return await res.body.json();
  }

  /** Every endpoint's record. */
  async records(): Promise<EndpointRecord[]> {
    const reads = Object.values(this.endpoints)
      .map((url) => this.control(url, "runs"));
    return await Promise.all(reads) as EndpointRecord[];
  }

  /** Polls until a condition holds; throws after the limit in ms. */
  async waitFor(
    condition: () => Promise<boolean>,
    limitMs: number,
  ): Promise<void> {
    const giveUpAt = Date.now() + limitMs;
    while (!await condition()) {
      if (Date.now() > giveUpAt) throw new Error(`not within ${limitMs} ms`);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  /** Stops every process that this stack started. */
  async stop(): Promise<void> {
    for (const { child } of this.#running.values()) {
      child.kill("SIGCONT");
      child.kill("SIGTERM");
    }
    const timer = setTimeout(() => this.#killAll(), stopLimitMs);
    await Promise.all([...this.#running.keys()].map((id) => this.ended(id)));
    clearTimeout(timer);
    for (const child of this.#helpers) child.kill("SIGKILL");
    for (const relay of this.#relays) relay.close();
    rmSync(this.#dir, { recursive: true, force: true });
  }

  #killAll(): void {
    for (const { child } of this.#running.values()) child.kill("SIGKILL");
  }

  async #startEndpoints(): Promise<void> {
    const names = deploymentHosts(this.deployment).map((h) => h.name);
    const groups: string[][] = Array.from(
      { length: endpointProcesses },
      () => [],
    );
    names.forEach((name, i) => groups[i % endpointProcesses].push(name));
    await Promise.all(groups.map(async (group) => {
      const line = await this.#startHelper("dist/endpoints.cjs", group);
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
    const workers = deploymentHosts(this.deployment)
      .map((h) => ({ ...h, address: this.endpoints[h.name] }));
    const entries = this.entries.map((e): ListedHost => ({
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
    const line = await this.#startHelper("dist/platform.cjs", options);
    this.platform = String((line as { address: string }).address);
  }

  async #startHelper(program: string, argument: unknown): Promise<object> {
    const child = spawn(
      process.execPath,
      [program, JSON.stringify(argument)],
      { stdio: ["ignore", "pipe", "inherit"] },
    );
    this.#helpers.push(child);
    if (child.stdout === null) throw new Error(`${program} has no output`);
    const lines = createInterface({ input: child.stdout });
    for await (const line of lines) return JSON.parse(line);
    throw new Error(`${program} ended early`);
  }

  async #startRelays(): Promise<void> {
    for (const from of this.entries) {
      for (const to of this.entries) {
        if (from.peer >= to.peer) continue;
        this.#relays.push(await startRelay(from.id, to.id, to.peer));
      }
    }
  }

  #settingsOf(entry: EntryAddresses): string {
    const { pollMs = 1000, leaseMs = 3000, bootMs = 8000, moves = true } =
      this.options;
    const seeds = this.entries.filter((e) => e.id !== entry.id)
      .map((e) => JSON.stringify(e.peer)).join(", ");
    const dial = this.#relays.filter((r) => r.from === entry.id).map((r) => {
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

  async #importTable(): Promise<void> {
    const edit = fromCsv(Table.empty, deploymentTable(this.deployment));
    if (edit.err) throw new Error(edit.val.message);

    await this.waitFor(async () => {
      const reply = await this.operator()
        .post("/v1/table", editReplySchema, edit.val);
      return reply.ok || reply.val.code.name === "edit-conflict";
    }, readyLimitMs);
  }

  /** Whether each entry is ready and all hosts are owned once. */
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

/** Ports below the ephemeral range, so that no outgoing connection takes them. */
const firstPort = 18_000;
const lastPort = 31_000;
let nextPort = firstPort + process.pid % 10_000;

/** Finds loopback addresses that nothing listens on. */
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
