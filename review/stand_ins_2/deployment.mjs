/**
 * A small deployment: the stand-ins in this process, and the project's entries
 * as processes of their own, with the command of the deploy file.
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { CloudStandIn } from "./cloud.mjs";
import { delay } from "./http_server.mjs";
import { decodeValue, StoreStandIn } from "./store.mjs";
import { WorkerStandIn } from "./worker.mjs";

/** Bounds of the site hhsl-kyushu, as SYSTEM.md states them. */
export const bounds = {
  contactMs: 3_000,
  configApplyMs: 2_000,
  maxHoldMs: 10_000,
  stopTimeoutMs: 200,
  cancelMs: 3_000,
  visibleMs: 3_000,
  finishS: 14,
  migrateS: 1.5,
  maintenanceS: 2,
};

/** Time after which an entry that is not ready is started anew, in ms. */
const startTimeoutMs = 5_000;

/** Time in which the entries have to be ready, in ms. */
const readyTimeoutMs = 20_000;

const deployFile = readFileSync("deploy/system.toml", "utf8");

/** The words of the command that runs an entry. */
function entryCommand() {
  const [, command] = /^run = "([^"]+)"$/m.exec(deployFile);
  return command.split(" ");
}

/** Opens and closes some listeners; returns their ports. */
async function freePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map((server) =>
      new Promise((resolve) => {
        server.listen(0, "127.0.0.1", () => resolve(server.address().port));
      })
    ),
  );
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** Fills the settings template of the deploy file with an entry's fields. */
function renderSettings(fields) {
  const [, path] = /^template = "([^"]+)"$/m.exec(deployFile);
  const valueOf = (name) =>
    name.split(".").reduce((value, part) => value?.[part], fields);
  return readFileSync(path, "utf8")
    .replace(
      /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs,
      (_, name, text) => valueOf(name) === undefined ? "" : text,
    )
    .replace(
      /\{\{([\w.]+)(\|json)?\}\}/g,
      (_, name, json) =>
        json ? JSON.stringify(valueOf(name)) : String(valueOf(name) ?? ""),
    );
}

export class Deployment {
  store = new StoreStandIn();
  /** Submitted jobs by id: `phases` and `runMs`. */
  jobs = new Map();
  workers = [];
  /** All that was recorded. */
  events = [];
  #startedAt = performance.now();
  #entries = [];
  #nextWorker = 0;
  #isStopping = false;
  #isReady = false;
  #dir = mkdtempSync(join(tmpdir(), "briartide-review-"));

  /**
   * `folder` is that of the case; `zones` are those of the entries. A process
   * that ends is started again after `restartAfterMs`, if that is given.
   */
  constructor(folder, options) {
    this.recordFile = join(folder, "record.txt");
    writeFileSync(this.recordFile, "");
    this.options = options;
    this.cloud = new CloudStandIn(
      bounds,
      (machine) => this.#startWorker(machine),
      (machine) => this.#endWorker(machine),
      (event) => this.record(event),
    );
  }

  /** Time since the start, in whole ms. */
  get now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** Notes an event in memory and in the record file. */
  record(event) {
    const noted = { at: this.now, ...event };
    this.events.push(noted);
    appendFileSync(this.recordFile, JSON.stringify(noted) + "\n");
  }

  /** Starts everything; throws if the entries do not become ready. */
  async start(config) {
    this.storeAddress = await this.store.server.listen();
    this.cloudAddress = await this.cloud.server.listen();
    this.configure(config);
    await this.#startMachines();
    const { zones } = this.options;
    for (const [i, zone] of zones.entries()) {
      const name = `front-${zone}-${i + 1}`;
      this.#entries.push(await this.#startEntry(name, zone));
    }
    await this.#untilReady();
    // The entries settle and acquire their pools.
    await delay(3_000);
  }

  /** Writes a version of the config as the operator. */
  configure(config) {
    this.store.put("op", "config", config);
    const { version, routes, services } = config;
    const backends = routes.map((r) => `${r.name} -> ${r.backend}`);
    const names = services.map((s) => s.name);
    this.record({
      event: "config",
      version,
      routes: backends,
      services: names,
    });
  }

  /** Ends all processes and stand-ins. */
  async stop() {
    this.#isStopping = true;
    const ended = this.#entries.map(({ child }) =>
      child.exitCode !== null || child.signalCode !== null
        ? undefined
        : new Promise((resolve) => child.once("exit", resolve))
    );
    for (const { child } of this.#entries) child.kill("SIGKILL");
    await Promise.all(ended);
    for (const worker of this.workers) worker.terminate();
    this.store.server.close();
    this.cloud.server.close();
    rmSync(this.#dir, { recursive: true, force: true });
  }

  /** The entries: their names, addresses and processes. */
  get entries() {
    return this.#entries;
  }

  /** Number of times that each entry has ended by itself, by name. */
  get ownEnds() {
    const ends = new Map();
    for (const { event, entry } of this.events) {
      if (event !== "entry-ended") continue;
      ends.set(entry, (ends.get(entry) ?? 0) + 1);
    }
    return ends;
  }

  /**
   * Sends a consumer's request to an entry, and records it with its answer.
   * Returns the status, undefined if there was none in time, and the body.
   */
  async call(entry, route, method, id, body, timeoutMs = 3_000) {
    const sentAt = this.now;
    const answer = await this.#request(entry, {
      method,
      path: route.pathPrefix + id,
      headers: { host: route.host, "deadline-ms": String(timeoutMs) },
      body: body === undefined ? "" : JSON.stringify(body),
      timeoutMs,
    });
    const { status, text } = answer;
    const event = { event: "call", method, id, sentAt, status, text };
    this.record({ ...event, entry: this.#entries[entry].name });
    return { ...answer, sentAt };
  }

  /** Submits a job; `runMs` is how long each of its tasks takes. */
  submit(entry, route, id, phases, runMs) {
    this.jobs.set(id, { phases, runMs });
    return this.call(entry, route, "POST", id, {
      spec: `input of ${id}`,
      phases,
    });
  }

  /** The recorded events of a job's tasks of one kind. */
  taskEvents(job, kind) {
    return this.events.filter((e) =>
      e.event === kind && e.task?.startsWith(`${job}.`)
    );
  }

  #request(entry, { method, path, headers, body, timeoutMs }) {
    const [host, port] = this.#entries[entry].callers.split(":");
    return new Promise((resolve) => {
      const req = request({ host, port, method, path, headers, agent: false });
      const finish = (answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      const timer = setTimeout(() => {
        finish({ status: undefined, text: "no answer in time" });
        req.destroy();
      }, timeoutMs);
      req.on(
        "error",
        (err) => finish({ status: undefined, text: err.message }),
      );
      req.on("response", (res) => {
        let text = "";
        res.on("data", (chunk) => text += chunk);
        res.on("end", () => finish({ status: res.statusCode, text }));
        res.on(
          "error",
          (err) => finish({ status: undefined, text: err.message }),
        );
      });
      req.end(body);
    });
  }

  async #startMachines() {
    const { zones, pools, machinesPerPool, capacity } = this.options;
    for (const pool of pools) {
      for (let i = 0; i < machinesPerPool; i++) {
        const name = `m-${pool}-${i}`;
        const rack = `r${zones.indexOf(zones[i % zones.length])}-${i % 2}`;
        const machine = {
          name,
          pool,
          zone: zones[i % zones.length],
          labels: ["a", rack],
          capacity,
          state: "up",
          waves: new Set(),
        };
        this.cloud.machines.set(name, machine);
        await this.#startWorker(machine);
      }
    }
  }

  async #startWorker(machine) {
    const id = `i-${(this.#nextWorker++).toString(16).padStart(8, "0")}`;
    const { pool, zone, labels, capacity, name } = machine;
    const identity = { id, machine: name, pool, zone, labels, capacity };
    const worker = new WorkerStandIn(
      identity,
      bounds,
      this.jobs,
      (event) => this.record(event),
    );
    machine.worker = worker;
    this.workers.push(worker);
    const address = await worker.server.listen();
    this.store.put("servers", id, worker.registration(address));
  }

  /** Crashes a worker and starts it again under its id, at its address. */
  async restartWorker(worker, downMs) {
    const { identity } = worker;
    const { address } = worker.server;
    const machine = this.cloud.machines.get(identity.machine);
    worker.terminate();
    this.workers = this.workers.filter((each) => each !== worker);
    this.record({ event: "worker-crashed", worker: identity.id });
    await delay(downMs);
    const next = new WorkerStandIn(
      identity,
      bounds,
      this.jobs,
      (event) => this.record(event),
    );
    machine.worker = next;
    this.workers.push(next);
    await next.server.listen(Number(address.split(":")[1]));
    this.store.put("servers", identity.id, next.registration(address));
    this.record({ event: "worker-restarted", worker: identity.id });
    return next;
  }

  #endWorker(machine) {
    const { worker } = machine;
    machine.worker = undefined;
    worker.terminate();
    this.workers = this.workers.filter((each) => each !== worker);
    this.store.remove("servers", worker.identity.id);
  }

  /** Starts the process of an entry; returns what is known of it. */
  async #startEntry(name, zone) {
    const [front, ready, metrics] = await freePorts(3);
    const callers = `127.0.0.1:${front}`;
    const settings = renderSettings({
      node: name,
      zone,
      ip: "127.0.0.1",
      limits: { cores: 1, cpuShare: 0.675 },
      listen: { front: callers, ready: `127.0.0.1:${ready}` },
      platform: { addr: this.storeAddress },
      cloud: { addr: this.cloudAddress },
      hint: "",
    }).replace("127.0.0.1:9464", `127.0.0.1:${metrics}`);
    const file = join(this.#dir, `${name}.toml`);
    writeFileSync(file, settings);
    const readyAddress = `127.0.0.1:${ready}`;
    const startedAt = performance.now();
    const entry = { name, zone, file, callers, ready: readyAddress, startedAt };
    this.#spawn(entry);
    return entry;
  }

  /** Starts the process of an entry, with its settings file. */
  #spawn(entry) {
    if (this.#isStopping) throw new Error("the deployment stops");
    const { name, file } = entry;
    const log = openSync(join(this.#dir, `${name}.log`), "a");
    const [command, ...args] = entryCommand();
    const { PATH, HOME } = process.env;
    const child = spawn(command, args, {
      env: { PATH, HOME, BRIARTIDE_CONFIG: file },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    entry.child = child;
    child.once("exit", async (code, signal) => {
      if (this.#isStopping || !this.#isReady) return;
      this.record({ event: "entry-ended", entry: name, code, signal });
      const { restartAfterMs } = this.options;
      if (restartAfterMs === undefined) return;
      await delay(restartAfterMs);
      if (!this.#isStopping) this.#spawn(entry);
    });
  }

  /** Waits until all entries are ready. */
  async #untilReady() {
    const deadline = performance.now() + readyTimeoutMs;
    for (let i = 0; i < this.#entries.length; i++) {
      while (!await isReady(this.#entries[i].ready)) {
        const { name, zone, child } = this.#entries[i];
        if (performance.now() > deadline) throw new Error(`${name} not ready`);
        // Another process may have taken a port that was free a moment ago. The
        // entry then may not end by itself.
        const { startedAt } = this.#entries[i];
        if (performance.now() - startedAt > startTimeoutMs) {
          child.kill("SIGKILL");
          this.#entries[i] = await this.#startEntry(name, zone);
        }
        await delay(100);
      }
    }
    this.#isReady = true;
    this.record({ event: "ready", entries: this.#entries.length });
  }
}

async function isReady(address) {
  try {
    return (await fetch(`http://${address}/-/ready`)).status === 200;
  } catch {
    return false;
  }
}

/** A route with the values of an example in the pages. */
export function route(name, backend, changes = {}) {
  return {
    name,
    host: "pule25.example",
    pathPrefix: `/${name}/`,
    kind: "non_idempotent",
    timeoutMs: 3_000,
    sloMs: 600,
    priority: 0,
    backend,
    maxAttempts: 4,
    stretch: 1.6,
    ...changes,
  };
}

/** A service with the values of an example in the pages. */
export function service(name) {
  return {
    name,
    healthPath: "/health",
    maxConns: 64,
    protocol: "h1",
    tls: false,
    admissionControl: true,
    standby: false,
  };
}

/** Limits of the config, as in an example in the pages. */
export const limits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 262_144,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Time after which a case is given up, in ms. */
const caseTimeoutMs = 115_000;

/**
 * Runs a case, whose module has this URL: `play` gets the deployment and whether
 * to disturb it, and returns how the rule was broken, or undefined if it held.
 * Sets the exit code: 1 broken, 0 held, 2 could not run.
 */
export async function runCase(moduleUrl, options, config, play) {
  const folder = fileURLToPath(new URL(".", moduleUrl));
  const isTroubled = process.env.TROUBLE !== "0";
  const deployment = new Deployment(folder, options);
  const giveUp = async (reason) => {
    console.log(`could not run: ${reason}`);
    await deployment.stop();
    process.exit(2);
  };
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.once(signal, () => giveUp(signal));
  }
  setTimeout(() => giveUp("the time is over"), caseTimeoutMs);
  try {
    await deployment.start(config);
    const broken = await play(deployment, isTroubled);
    if (broken === undefined && deployment.ownEnds.size > 0) {
      throw new Error("an entry has ended");
    }
    deployment.record({ event: "verdict", broken: broken ?? "held" });
    console.log(broken === undefined ? "held" : `BROKEN: ${broken}`);
    await deployment.stop();
    process.exit(broken === undefined ? 0 : 1);
  } catch (err) {
    deployment.record({ event: "could-not-run", message: String(err) });
    await giveUp(err);
  }
}

export { decodeValue, delay };
