/**
 * Sets up a small deployment: entries of the project as separate processes,
 * with the command and the settings template of the deploy folder, and
 * stand-ins for the store, the machines, the workers and the consumers.
 */
import { spawn } from "node:child_process";
import {
  closeSync,
  existsSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { CloudStandIn } from "./cloud.mjs";
import { request, sleep } from "./http.mjs";
import { now, Record } from "./record.mjs";
import { StoreStandIn } from "./store.mjs";
import { Runs, Worker } from "./workers.mjs";

const root = path.resolve(fileURLToPath(import.meta.url), "../../..");
const zones = ["fukuoka", "kumamoto", "kagoshima", "oita"];
/** Longest time that a case may take, in ms. */
const maxCaseMs = 118_000;

/** Loopback addresses of this run, so that two runs share no port. */
const block = `127.${10 + process.pid % 200}.${1 + (process.pid >> 8) % 250}`;
const addresses = {
  entry: (number) => `${block}.${number}`,
  workers: `${block}.201`,
  store: `${block}.202`,
  cloud: `${block}.203`,
};

function freePort(ip) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Fills in the settings template, as far as this project uses it. */
function render(template, fields) {
  const find = (name) =>
    name.split(".").reduce((value, key) => value?.[key], fields);
  return template
    .replace(
      /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs,
      (_, name, text) => find(name) === undefined ? "" : text,
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
      const value = find(name);
      if (json) return JSON.stringify(value);
      return value === undefined ? "" : String(value);
    });
}

/** One deployment; `settings` describes it. */
export class Stage {
  /** The submitted jobs by id. */
  jobs = new Map();
  entries = [];
  workers = [];
  #workerCount = 0;
  #folder = mkdtempSync(path.join(tmpdir(), "review-"));

  /**
   * @param file record.txt
   * @param workMs work of a run in ms
   */
  constructor(file, workMs) {
    this.record = new Record(file);
    this.workMs = workMs;
    this.store = new StoreStandIn(this.record);
    this.cloud = new CloudStandIn(this);
    this.runs = new Runs(this.record, this.jobs);
  }

  /** Writes the config, starts the workers and then the entries. */
  async open({ entries, routes, services, workers }) {
    this.routes = routes;
    await this.cloud.open(addresses.cloud);
    this.store.write("op", "", "config", {
      version: 1,
      routes: routes.map((route) => ({
        kind: "non_idempotent",
        timeoutMs: 3_000,
        sloMs: 600,
        priority: 0,
        maxAttempts: 4,
        stretch: 1.6,
        host: "jobs.example",
        ...route,
      })),
      services: services.map((name) => ({
        name,
        healthPath: "/health",
        maxConns: 64,
        protocol: "h1",
        tls: false,
        admissionControl: true,
        standby: false,
      })),
      limits: { maxBodyBytes: 262_144 },
    });
    for (const [i, worker] of workers.entries()) {
      const machine = `m-${String(i + 1).padStart(4, "0")}`;
      const zone = zones[i % zones.length];
      const added = await this.addWorker({
        machine,
        zone,
        labels: ["a", `r${Math.floor(i / 4) + 1}`],
        capacity: { cpu: 16_000, memMb: 65_536, gpu: 0 },
        ...worker,
      });
      this.cloud.add(machine, added);
    }
    const toml = readFileSync(path.join(root, "deploy/system.toml"), "utf8");
    const command = /^run = "(.*)"$/m.exec(toml)[1].split(" ");
    const template = readFileSync(
      path.join(root, "deploy/settings.toml.tmpl"),
      "utf8",
    );
    if (!existsSync(path.join(root, "target/briartide.cjs"))) {
      throw new Error("target/ is not built");
    }
    for (let i = 1; i <= entries; i++) {
      this.entries.push(await this.#startEntry(i, command, template));
    }
    await this.#untilReady();
  }

  async addWorker({ machine, backend, zone, labels, capacity }) {
    const id = `i-${(0x7f3a91c0 + ++this.#workerCount).toString(16)}`;
    const worker = new Worker(
      { id, machine, backend, zone, labels, capacity },
      this,
    );
    await worker.start(addresses.workers);
    this.workers.push(worker);
    return worker;
  }

  async #startEntry(number, command, template) {
    const ip = addresses.entry(number);
    const node = `front-${zones[(number - 1) % zones.length]}-${number}`;
    const store = await this.store.open(addresses.store, node);
    const front = `${ip}:${await freePort(ip)}`;
    const ready = `${ip}:${await freePort(ip)}`;
    const settings = render(template, {
      node,
      ip,
      zone: zones[(number - 1) % zones.length],
      limits: { cores: 1, cpuShare: 0.675 },
      listen: { front, ready },
      platform: { addr: store },
      cloud: { addr: this.cloud.address },
      hint: this.hint ?? "",
    }).replace(/:9464/, `:${await freePort(ip)}`);
    const file = path.join(this.#folder, `${node}.toml`);
    writeFileSync(file, settings);
    const log = openSync(path.join(this.#folder, `${node}.log`), "a");
    const child = spawn(command[0], command.slice(1), {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: this.#folder,
        LANG: "C",
        BRIARTIDE_CONFIG: file,
      },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.record.add("entry-started", { node, front, pid: child.pid });
    const entry = { node, front, ready, child, exited: false };
    child.on("exit", (code, signal) => {
      entry.exited = true;
      this.record.add("entry-ended", { node, code, signal });
    });
    return entry;
  }

  async #untilReady() {
    for (let i = 0; i < 100; i++) {
      const ready = await Promise.all(
        this.entries.map((entry) =>
          request(entry.ready, { method: "GET", path: "/-/ready" })
        ),
      );
      if (ready.every((each) => each.status === 200)) {
        // Until the shards are taken and the workers are known.
        await sleep(4_000);
        return;
      }
      await sleep(200);
    }
    throw new Error("the entries do not become ready");
  }

  /** Calls an entry as a consumer, from the entry with this number on. */
  async call(method, route, id, body, first = 0) {
    const { pathPrefix, host = "jobs.example" } = this.routes.find((each) =>
      each.name === route
    );
    const up = this.entries.filter((entry) => !entry.exited);
    const entry = up[first % up.length];
    const answer = await request(entry.front, {
      method,
      path: pathPrefix + id,
      host,
      body,
      timeoutMs: 3_000,
    });
    if (method !== "GET") {
      this.record.add("consumer", {
        method,
        route,
        id,
        entry: entry.node,
        status: answer.status,
      });
    }
    return answer;
  }

  /** Hands a job in, with retries; returns whether it was accepted. */
  async submit(route, job) {
    const id = (0x5c0e7a21d94b3600n + BigInt(this.jobs.size)).toString(16);
    this.jobs.set(id, { id, route, accepted: false, ...job });
    for (let attempt = 0; attempt < 5; attempt++) {
      const answer = await this.call("POST", route, id, job, attempt);
      if (answer.status === 200) {
        this.jobs.get(id).accepted = true;
        return id;
      }
      await sleep(300);
    }
    return id;
  }

  /** The state that is shown for a job; the status if there is none. */
  async stateOf(id) {
    const { route } = this.jobs.get(id);
    for (let attempt = 0; attempt < 4; attempt++) {
      const answer = await this.call("GET", route, id, undefined, attempt);
      if (answer.status === 200) return answer.body.state;
      if (answer.status === 410) return "410";
    }
    return "no answer";
  }

  /** Sends a signal to an entry. */
  signal(entry, signal) {
    this.record.add("signal", { node: entry.node, signal });
    entry.child.kill(signal);
  }

  /** Ends all processes and removes the temporary folder. */
  async close() {
    for (const { child, exited } of this.entries) {
      if (!exited) child.kill("SIGKILL");
    }
    for (let i = 0; i < 50; i++) {
      if (this.entries.every((entry) => entry.exited)) break;
      await sleep(20);
    }
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true, force: true });
    }
    this.record.save();
  }
}

/**
 * Runs a case and exits: 1 if `play` returns broken rules, 0 if it returns
 * none, 2 if the case could not run.
 */
export async function runCase(folder, workMs, play, maxMs = maxCaseMs) {
  const stage = new Stage(path.join(folder, "record.txt"), workMs);
  const trouble = process.env.TROUBLE !== "0";
  const finish = async (code) => {
    await stage.close();
    process.exit(code);
  };
  const abandon = async (why) => {
    stage.record.add("abandoned", { why });
    process.stderr.write(`${why}\n`);
    await finish(2);
  };
  setTimeout(() => abandon("out of time"), maxMs - now()).unref();
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => abandon(signal));
  }
  try {
    const broken = await play(stage, trouble);
    for (const each of broken) stage.record.add("BROKEN", { rule: each });
    stage.record.add("verdict", { trouble, broken: broken.length });
    const shown = broken.slice(0, 5).join("\n");
    process.stdout.write(
      broken.length === 0 ? "held\n" : `broken: ${broken.length}\n${shown}\n`,
    );
    await finish(broken.length === 0 ? 0 : 1);
  } catch (err) {
    await abandon(String(err?.stack ?? err));
  }
}
