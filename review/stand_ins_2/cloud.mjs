/** Stand-in of the platform's service for machines (PROTOCOL.md, "Machines"). */
import { delay, HttpServer } from "./http_server.mjs";

export class CloudStandIn {
  /** Machines by name: `pool`, `zone`, `state`, `worker` and `waves`. */
  machines = new Map();

  /**
   * `startWorker` starts the worker of a machine, and `endWorker` ends it with
   * all that it runs.
   */
  constructor(bounds, startWorker, endWorker, record) {
    this.bounds = bounds;
    this.startWorker = startWorker;
    this.endWorker = endWorker;
    this.record = record;
    this.server = new HttpServer((req) => this.#handle(req));
  }

  #handle({ method, path, body, headers }) {
    if (method === "GET" && path === "/-/machines") {
      return { status: 200, body: { machines: this.#list(), nextToken: null } };
    }
    const machine = this.machines.get(body.machine);
    if (machine === undefined) return { status: 400 };
    const from = {
      by: headers["lease-holder"],
      fence: headers["fencing-token"],
    };
    if (path === "/-/machine-move") return this.#move(machine, body, from);
    if (path === "/-/machine-upkeep") return this.#upkeep(machine, body, from);
    return { status: 404 };
  }

  #list() {
    return [...this.machines].map(([machine, m]) => ({
      machine,
      pool: m.pool,
      state: m.state,
      zone: m.zone,
      labels: m.labels,
      capacity: m.capacity,
      id: m.worker?.identity.id ?? "",
    }));
  }

  #move(machine, { pool }, from) {
    if (machine.pool === pool) return { status: 200, body: {} };
    if (machine.state !== "up") return busy;
    this.record({ event: "move", machine: machine.name, pool, ...from });
    machine.pool = pool;
    this.#replace(machine, "moving", this.bounds.migrateS * 1_000);
    return { status: 200, body: {} };
  }

  #upkeep(machine, { wave }, from) {
    if (machine.waves.has(wave)) return { status: 200, body: {} };
    if (machine.state !== "up") return busy;
    this.record({ event: "upkeep", machine: machine.name, wave, ...from });
    machine.waves.add(wave);
    this.#replace(machine, "upkeep", this.bounds.maintenanceS * 1_000);
    return { status: 200, body: {} };
  }

  async #replace(machine, state, ms) {
    machine.state = state;
    this.endWorker(machine);
    await delay(ms);
    await this.startWorker(machine);
    machine.state = "up";
  }
}

const busy = { status: 409, body: { reason: "busy" } };
