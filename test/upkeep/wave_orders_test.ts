/** Tests what a wave takes from the answers to its orders and the listing. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Ok } from "ts-results";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import type { ProviderHost } from "../../src/capacity/index.ts";
import { CatalogHolder } from "../../src/catalog/index.ts";
import { fleetShard } from "../../src/cluster/index.ts";
import { EndpointRegistry } from "../../src/endpoint/index.ts";
import {
  FleetOwner,
  type HostOrderOutcome,
  type RequestedWave,
  vacatedKey,
  vacateTable,
} from "../../src/upkeep/index.ts";
import { acquireLease } from "../cluster/acquire_lease.ts";

/** Interval of the owner's iterations, in ms. */
const iterationMs = 200;

/** A fleet owner with one wave over the hosts `a`, `b` and so on. */
async function setUp(names: readonly string[], maxParallel = 1) {
  const clock = new VirtualClock();
  const model = new ModelStore(clock, () => 1);
  const store = model.connect("e", new ProcessClock(clock));
  const advance = async (ms: number) => {
    for (let left = ms; left > 0; left -= 2) {
      await clock.advance(2);
      await clock.flush();
    }
  };
  const leasePromise = acquireLease(store, clock, fleetShard, "e");
  await advance(100);
  const lease = await leasePromise;
  const hosts = new Map(names.map((host): [string, ProviderHost] => [
    host,
    { host, pool: "p", state: "up", zone: "z", endpoint: `on-${host}` },
  ]));
  const setHost = (name: string, changes: Partial<ProviderHost>) => {
    const host = hosts.get(name);
    if (host !== undefined) hosts.set(name, { ...host, ...changes });
  };
  const orders: string[] = [];
  /** Carries out an order about a host and returns its outcome. */
  const onOrder = {
    call: (_host: string): HostOrderOutcome => ({ kind: "done" }),
  };
  const waves: RequestedWave[] = [];
  /** Requests a wave over all hosts. */
  const requestWave = (id: string) => {
    waves.push({ id, hosts: names, durationMs: 20_000, maxParallel });
  };
  requestWave("1");
  const states: string[] = [];
  const owner = new FleetOwner({
    entry: "e",
    lease,
    store,
    control: {
      list: () => Promise.resolve(Ok([...hosts.values()])),
      maintain: (host) => {
        orders.push(host);
        return Promise.resolve(onOrder.call(host));
      },
      move: () => Promise.resolve({ kind: "throttled" }),
    },
    requestedWaves: {
      waves: () => waves,
      publish: (_wave, state) => {
        states.push(state);
        return Promise.resolve(true);
      },
    },
    catalog: new CatalogHolder(),
    registry: new EndpointRegistry(),
    clock,
    log: { decision: () => {} },
    previous: { state: "ended" },
    areHeartbeatsLate: () => false,
  });
  /** Runs iterations for `ms`. */
  const run = async (ms: number) => {
    for (let i = 0; i < ms / iterationMs; i++) {
      owner.reconcile();
      await advance(iterationMs);
    }
  };
  /** Reports an endpoint as empty, as the owner of its pool does. */
  const reportEmpty = (endpoint: string) =>
    store.commit({
      checks: [],
      puts: [{ ...vacatedKey("p", endpoint), value: "{}" }],
      removes: [],
    });
  const withdrawReport = (endpoint: string) =>
    store.commit({
      checks: [],
      puts: [],
      removes: [vacatedKey("p", endpoint)],
    });
  /** State of an endpoint's vacate row; undefined without a row. */
  const vacateState = (endpoint: string): string | undefined => {
    const row = model.table(vacateTable).find((r) => r.key === endpoint);
    return row === undefined ? undefined : JSON.parse(row.value).state;
  };
  return {
    orders,
    onOrder,
    setHost,
    run,
    requestWave,
    reportEmpty,
    withdrawReport,
    vacateState,
    states,
  };
}

describe("a wave", () => {
  describe("when an order says that the host's maintenance was done before", () => {
    // Guards against TWICE: the endpoint that the host got after an earlier,
    // unanswered order was marked as taken down although it lives; the owner of
    // its pool gave up the runs there, and never used it again.
    it("takes back the request to vacate the living endpoint", async () => {
      const { setHost, run, reportEmpty, vacateState, states } = await setUp([
        "a",
      ]);
      // An order of the previous owner has been carried out.
      setHost("a", { endpoint: "new-on-a" });
      await run(600);
      assert.equal(vacateState("new-on-a"), "emptying");
      reportEmpty("new-on-a");
      const seen = new Set<string | undefined>();
      for (let i = 0; i < 15; i++) {
        await run(200);
        seen.add(vacateState("new-on-a"));
      }
      assert.deepEqual([...seen], ["emptying", undefined]);
      assert.deepEqual(states, ["running", "completed"]);
    });

    // Guards against AVAIL: the report of before counted for the next wave,
    // when the endpoint may have received tasks again.
    it("vacates the endpoint again only after its report is gone", async () => {
      const fleet = await setUp(["a"]);
      const { run, vacateState } = fleet;
      await run(600);
      fleet.reportEmpty("on-a");
      await run(3_000);
      assert.equal(vacateState("on-a"), undefined);
      fleet.requestWave("2");
      await run(1_000);
      assert.deepEqual(fleet.orders, ["a"]);
      assert.equal(vacateState("on-a"), undefined);
      fleet.withdrawReport("on-a");
      await run(600);
      assert.equal(vacateState("on-a"), "emptying");
      assert.deepEqual(fleet.orders, ["a"]);
    });
  });

  describe("when an order takes the host down", () => {
    it("marks its endpoint once the listing shows that it is gone", async () => {
      const { onOrder, setHost, run, reportEmpty, vacateState } = await setUp([
        "a",
      ]);
      onOrder.call = (host) => {
        setHost(host, { state: "upkeep" });
        return { kind: "done" };
      };
      await run(600);
      reportEmpty("on-a");
      await run(600);
      assert.equal(vacateState("on-a"), "down");
    });

    // Guards against an endpoint that is never used again because it kept its
    // id, and against one whose order turned out not to be carried out.
    it("takes the mark back if the endpoint is listed again", async () => {
      const { onOrder, setHost, run, reportEmpty, vacateState } = await setUp([
        "a",
      ]);
      onOrder.call = (host) => {
        setHost(host, { state: "upkeep" });
        return { kind: "done" };
      };
      await run(600);
      reportEmpty("on-a");
      await run(1_200);
      setHost("a", { state: "up" });
      await run(1_600);
      assert.equal(vacateState("on-a"), undefined);
    });
  });

  describe("when an order for maintenance has no answer", () => {
    const unknown = { kind: "unknown", message: "no response" } as const;

    // Guards against LIMIT: the host counted as available, and a second one was
    // taken down beside it.
    it("counts the host as down while the listing shows it so", async () => {
      const fleet = await setUp(["a", "b"]);
      const { onOrder, setHost, run, orders } = fleet;
      onOrder.call = (host) => {
        setHost(host, { state: "upkeep" });
        return unknown;
      };
      await run(600);
      fleet.reportEmpty("on-a");
      await run(400);
      setHost("b", { endpoint: "" });
      await run(2_000);
      assert.deepEqual(orders, ["a"]);
    });

    // Guards against the same when the order is carried out late.
    it("resolves it before another host is taken down", async () => {
      const fleet = await setUp(["a", "b"]);
      const { onOrder, setHost, run, orders } = fleet;
      onOrder.call = () => unknown;
      await run(600);
      fleet.reportEmpty("on-a");
      await run(400);
      setHost("b", { endpoint: "" });
      await run(1_000);
      assert.deepEqual([...new Set(orders)], ["a"]);
      onOrder.call = (host) => {
        setHost(host, { state: "upkeep" });
        return { kind: "done" };
      };
      await run(1_400);
      assert.deepEqual([...new Set(orders)], ["a"]);
      setHost("a", { state: "up", endpoint: "new-on-a" });
      await run(400);
      assert.deepEqual([...new Set(orders)], ["a", "b"]);
    });

    it("completes when the host is back with another endpoint", async () => {
      const fleet = await setUp(["a"]);
      const { onOrder, setHost, run, states } = fleet;
      onOrder.call = (host) => {
        setHost(host, { state: "upkeep" });
        return unknown;
      };
      await run(600);
      fleet.reportEmpty("on-a");
      await run(400);
      setHost("a", { state: "up", endpoint: "new-on-a" });
      onOrder.call = () => ({ kind: "done" });
      await run(600);
      fleet.reportEmpty("new-on-a");
      await run(2_000);
      assert.deepEqual(states, ["running", "completed"]);
    });
  });
});
