/** Stand-in for the platform's machines: lists, moves and upkeeps them. */
import { serve, sleep } from "./http.mjs";
import { now } from "./record.mjs";

const migrateMs = 1_500;
const maintenanceMs = 2_000;
const repeatedMs = 12;

export class CloudStandIn {
  /** Orders in the order of their arrival. */
  orders = [];
  /** Time that an order takes which has to be carried out, in ms. */
  orderMs = 12;
  #machines = new Map();
  #done = new Map();

  constructor(stage) {
    this.stage = stage;
  }

  async open(ip) {
    const { address } = await serve(
      ip,
      (method, url, body, headers) => this.#handle(method, url, body, headers),
    );
    this.address = address;
  }

  /** Adds a machine that runs a worker. */
  add(machine, worker) {
    this.#machines.set(machine, { machine, state: "up", worker });
  }

  /** The machine of a worker has failed for good. */
  lose(machine) {
    this.#machines.get(machine).state = "down";
  }

  async #handle(method, url, body, headers) {
    if (method === "GET") {
      await sleep(4);
      const machines = [...this.#machines.values()].map((each) => ({
        machine: each.machine,
        pool: each.worker.backend,
        state: each.state,
        zone: each.worker.zone,
        labels: each.worker.labels,
        capacity: each.worker.capacity,
        id: each.state === "up" ? each.worker.id : "",
      }));
      return { status: 200, body: { machines, nextToken: null } };
    }
    const order = {
      at: now(),
      kind: url.pathname,
      machine: body.machine,
      holder: headers["lease-holder"],
      fence: Number(headers["fencing-token"]),
    };
    this.orders.push(order);
    const { kind, machine, holder, fence } = order;
    const reply = this.#carryOut(url.pathname, body);
    this.stage.record.add("host-order", {
      kind,
      machine,
      holder,
      fence,
      status: reply.status,
    });
    await sleep(reply.isNew ? this.orderMs : repeatedMs);
    return { status: reply.status, body: reply.body };
  }

  #carryOut(path, { machine, pool, wave }) {
    const found = this.#machines.get(machine);
    if (found === undefined) return { status: 400 };
    const isMove = path === "/-/machine-move";
    const doneKey = `${machine} ${wave}`;
    if (isMove && found.worker.backend === pool) return { status: 200 };
    if (!isMove && this.#done.has(doneKey)) return { status: 200 };
    if (found.state !== "up") return { status: 409, body: { reason: "busy" } };
    if (!isMove) this.#done.set(doneKey, now());
    found.state = isMove ? "moving" : "upkeep";
    const before = found.worker;
    before.crash(isMove ? "moved" : "upkeep");
    this.stage.store.write("servers", "", before.id, null);
    const backend = isMove ? pool : before.backend;
    setTimeout(async () => {
      found.worker = await this.stage.addWorker({ ...before, backend });
      found.state = "up";
    }, isMove ? migrateMs : maintenanceMs);
    return { status: 200, isNew: true };
  }
}
