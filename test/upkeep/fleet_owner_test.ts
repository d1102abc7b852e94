/** Tests the fleet owner's host moves at the start of a demand surge. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "ts-results";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import { poolDemandKey, type ProviderHost } from "../../src/capacity/index.ts";
import { CatalogHolder } from "../../src/catalog/index.ts";
import { fleetShard } from "../../src/cluster/index.ts";
import { EndpointRegistry } from "../../src/endpoint/index.ts";
import {
  FleetOwner,
  type HostControl,
  type RequestedWave,
} from "../../src/upkeep/index.ts";
import { acquireLease } from "../cluster/acquire_lease.ts";

/** Number of hosts in standby. */
const standbyHosts = 60;

/** Time that one order to the provider takes, in ms. */
const orderMs = 12;

/** Factor on the store's delays: reads take 160 ms, commits 360 ms. */
const slowStoreFactor = 40;

async function setUp(waves: readonly RequestedWave[] = []) {
  const clock = new VirtualClock();
  const process = new ProcessClock(clock);
  const model = new ModelStore(clock, () => 1);
  const store = model.connect("a", process);
  const advance = async (ms: number) => {
    for (let left = ms; left > 0; left -= 2) {
      await clock.advance(2);
      await clock.flush();
    }
  };
  const leasePromise = acquireLease(store, clock, fleetShard, "a");
  await advance(100);
  const lease = await leasePromise;
  const hosts = new Map(
    Array.from({ length: standbyHosts }, (_, i): [string, ProviderHost] => [
      `h${i}`,
      { host: `h${i}`, pool: "spare", state: "up", zone: "z", endpoint: "" },
    ]),
  );
  const maintained: string[] = [];
  const control: HostControl = {
    list: () => Promise.resolve(Ok([...hosts.values()])),
    maintain: (host) => {
      maintained.push(host);
      return Promise.resolve({ kind: "done" });
    },
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
  catalog.updateIfNewer({
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
    requestedWaves: {
      waves: () => waves,
      publish: () => Promise.resolve(true),
    },
    catalog,
    registry: new EndpointRegistry(),
    clock,
    log: { decision: () => {} },
    previous: { state: "ended" },
    areHeartbeatsLate: () => false,
  });
  const demand = { want: standbyHosts, offered: [], silent: [] };
  const put = { ...poolDemandKey("quotes"), value: JSON.stringify(demand) };
  store.commit({ checks: [], puts: [put], removes: [] });
  await advance(400);
  const moved = () =>
    [...hosts.values()].filter((h) => h.pool === "quotes").length;
  return { owner, process, lease, model, advance, moved, maintained };
}

describe("the fleet's owner", () => {
  describe("when a pool requires sixty more hosts at once", () => {
    it("orders all of them within 350 ms", async () => {
      const { owner, advance, moved } = await setUp();
      owner.reconcile();
      await advance(350);
      assert.equal(moved(), standbyHosts);
    });

    it("keeps its lease if it has to renew it before the orders", async () => {
      const { owner, lease, advance, moved } = await setUp();
      await advance(1_500);
      owner.reconcile();
      await advance(400);
      assert.equal(lease.isLost, false);
      assert.equal(moved(), standbyHosts);
    });
  });

  describe("when the renewal of its lease is slow", () => {
    // Guards against exceeding `maxUnavailable` (AVAIL): an offer that was read
    // before the renewal may be withdrawn during it, and its endpoint may have
    // received tasks.
    it("sends no order based on offers read before it", async () => {
      const { owner, lease, model, advance, moved } = await setUp();
      await advance(1_500);
      model.delayFactor = slowStoreFactor;
      owner.reconcile();
      await advance(1_000);
      assert.equal(lease.ageMs < 1_000, true);
      assert.equal(moved(), 0);
    });

    it("sends the orders in the next iteration", async () => {
      const { owner, model, advance, moved } = await setUp();
      await advance(1_500);
      model.delayFactor = slowStoreFactor;
      owner.reconcile();
      await advance(1_000);
      owner.reconcile();
      await advance(600);
      assert.ok(moved() > 0);
    });
  });

  describe("when its process is suspended during the renewal of its lease", () => {
    const wave = { id: "w", hosts: ["h1"], durationMs: 60_000, maxParallel: 1 };

    // Guards against ONE: the process went on with an order of its term after
    // another entry had taken over and sent the same one.
    it("sends no order that waited for the renewal", async () => {
      const { owner, process, advance, maintained } = await setUp([wave]);
      await advance(1_500);
      owner.reconcile();
      await advance(8);
      assert.deepEqual(maintained, []);
      process.pause();
      await advance(4_000);
      process.resume();
      await advance(100);
      assert.deepEqual(maintained, []);
    });

    it("sends it without such a pause", async () => {
      const { owner, advance, maintained } = await setUp([wave]);
      await advance(1_500);
      owner.reconcile();
      await advance(100);
      assert.deepEqual(maintained, ["h1"]);
    });
  });
});
