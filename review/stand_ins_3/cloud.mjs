/** Stand-in of the platform's machines: a list, moves and upkeep. */
import { serve, sleep } from "./http.mjs";

const callMs = 8;

export class Cloud {
  /** Machines by name: pool, state, zone and the id of their worker. */
  machines = new Map();
  /** Orders about machines, in the order in which they were carried out. */
  orders = [];
  maintenanceMs = 2_000;
  migrateMs = 1_500;
  /** Called when a machine's worker ends, and when it has a new one. */
  onDown = () => {};
  onUp = () => {};

  async start() {
    this.server = await serve((method, url, body, headers) =>
      this.handle(method, url, body, headers)
    );
    this.address = this.server.address;
  }

  close() {
    this.server.close();
  }

  async handle(method, url, body, headers) {
    await sleep(callMs);
    if (method === "GET" && url.pathname === "/-/machines") {
      const machines = [...this.machines].map(([machine, m]) => (
        { machine, ...m, labels: ["a", "r1-1"], capacity: m.capacity }
      ));
      return { status: 200, body: { machines, nextToken: null } };
    }
    const kind = url.pathname.replace("/-/machine-", "");
    if (kind !== "move" && kind !== "upkeep") return { status: 400 };
    return this.order(kind, body, headers);
  }

  /** Carries out an order about a machine; fences aren't checked. */
  order(kind, { machine, pool, wave }, headers) {
    const m = this.machines.get(machine);
    if (m === undefined) return { status: 400 };
    const holder = headers["lease-holder"];
    const fence = Number(headers["fencing-token"]);
    const at = performance.now();
    const order = { at, kind, machine, pool, wave, holder, fence };
    this.orders.push(order);
    const isDone = kind === "move" ? m.pool === pool : m.wave === wave;
    if (isDone) return this.answer(order, 200);
    if (m.state !== "up") {
      return this.answer(order, 409, { reason: "busy" });
    }
    this.onDown(machine, m);
    if (kind === "move") Object.assign(m, { pool, state: "moving", id: "" });
    else Object.assign(m, { wave, state: "upkeep", id: "" });
    const ms = kind === "move" ? this.migrateMs : this.maintenanceMs;
    setTimeout(() => {
      m.state = "up";
      this.onUp(machine, m);
    }, ms);
    return this.answer(order, 200);
  }

  answer(order, status, body = {}) {
    order.status = status;
    return { status, body };
  }
}
