/** The fleet's owner at the start of a surge. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "ts-results";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import { CatalogHolder } from "../../src/catalog/index.ts";
import { EndpointRegistry } from "../../src/endpoint/index.ts";
import {
  demandKey,
  FleetOwner,
  fleetShard,
  type HostControl,
  type ListedHost,
} from "../../src/upkeep/index.ts";
import { acquireLease } from "../cluster/acquire_lease.ts";

const spares = 60;

/** Time that one order to the provider takes, in ms. */
const orderMs = 12;

/** Factor of the store's delays: reads take 160 ms, commits 360 ms. */
const slowStore = 40;

async function setUp() {
  const clock = new VirtualClock();
  const process = new ProcessClock(clock);
  const model = new ModelStore(clock, () => 1);
  const store = model.connect("a", process);
  const pass = async (ms: number) => {
    for (let left = ms; left > 0; left -= 2) {
      await clock.advance(2);
      await clock.flush();
    }
  };
  const acquired = acquireLease(store, clock, fleetShard, "a");
  await pass(100);
  const lease = await acquired;
  const hosts = new Map(
    Array.from({ length: spares }, (_, i): [string, ListedHost] => [
      `h${i}`,
      { host: `h${i}`, pool: "spare", state: "up", zone: "z", endpoint: "" },
    ]),
  );
  const control: HostControl = {
    list: () => Promise.resolve(Ok([...hosts.values()])),
    maintain: () => Promise.resolve({ kind: "throttled" }),
    move: (host, pool) =>
      new Promise((resolve) => {
        clock.after(orderMs, () => {
          const known = hosts.get(host);
          if (known !== undefined) {
            hosts.set(host, { ...known, pool, state: "moving" });
          }
          resolve({ kind: "done" });
        });
      }),
  };
  const catalog = new CatalogHolder();
  catalog.accept({
    version: 1,
    queues: [],
    pools: [
      { name: "quotes", standby: false },
      { name: "spare", standby: true },
    ],
    maxBodyBytes: 1,
  });
  const owner = new FleetOwner({
    entry: "a",
    lease,
    store,
    control,
    board: { waves: () => [], publish: () => Promise.resolve(true) },
    catalog,
    registry: new EndpointRegistry(),
    clock,
    log: { decision: () => {} },
    previous: "ended",
  });
  const demand = { want: spares, offered: [], silent: [] };
  const put = { ...demandKey("quotes"), value: JSON.stringify(demand) };
  store.commit({ checks: [], puts: [put], removes: [] });
  await pass(400);
  const moved = () =>
    [...hosts.values()].filter((h) => h.pool === "quotes").length;
  return { owner, lease, model, pass, moved };
}

describe("the fleet's owner", () => {
  describe("when a pool wants sixty hosts more at once", () => {
    it("has ordered all of them within 350 ms", async () => {
      const { owner, pass, moved } = await setUp();
      owner.pass();
      await pass(350);
      assert.equal(moved(), spares);
    });

    it("keeps its lease when it has to renew it before the orders", async () => {
      const { owner, lease, pass, moved } = await setUp();
      await pass(1_500);
      owner.pass();
      await pass(400);
      assert.equal(lease.isLost, false);
      assert.equal(moved(), spares);
    });
  });

  describe("when a renewal of its lease takes long", () => {
    // Guards against AVAIL: the offers that the orders go by may be withdrawn
    // meanwhile, and their endpoints have got tasks.
    it("gives no order by what it has read before", async () => {
      const { owner, lease, model, pass, moved } = await setUp();
      await pass(1_500);
      model.slowness = slowStore;
      owner.pass();
      await pass(1_000);
      assert.equal(lease.ageMs < 1_000, true);
      assert.equal(moved(), 0);
    });

    it("gives them in the next pass", async () => {
      const { owner, model, pass, moved } = await setUp();
      await pass(1_500);
      model.slowness = slowStore;
      owner.pass();
      await pass(1_000);
      owner.pass();
      await pass(600);
      assert.ok(moved() > 0);
    });
  });
});
