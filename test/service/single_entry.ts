/** An entry without other members, for tests of how it takes shards over. */
import { Ok } from "ts-results";
import { ModelStore } from "../../sim/model_store.ts";
import { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";
import type { ProviderHost } from "../../src/capacity/index.ts";
import { CatalogHolder } from "../../src/catalog/index.ts";
import { ShardLease } from "../../src/cluster/index.ts";
import { EndpointRegistry } from "../../src/endpoint/index.ts";
import {
  ShardManager,
  type ShardManagerDependencies,
} from "../../src/service/index.ts";
import type { Store } from "../../src/store/index.ts";
import type { DecisionFields } from "../../src/telemetry/index.ts";

/** The pool whose shard the entry takes over. */
export const pool = "quotes";

/** Default number of hosts, all without an endpoint. */
export const hostCount = 60;

/** Time that one order to the provider takes, in ms. */
const orderMs = 12;

/** An entry without other members, whose store calls a test can change. */
export function setUp(
  pools = [{ name: pool, standby: false }],
  hostsInWave = hostCount,
) {
  const clock = new VirtualClock();
  const model = new ModelStore(clock, () => 1);
  const connect = (name: string) =>
    model.connect(name, new ProcessClock(clock));
  const store: Store = connect("a");
  const advance = async (ms: number) => {
    for (let left = ms; left > 0; left -= 2) {
      await clock.advance(2);
      await clock.flush();
    }
  };
  const catalog = new CatalogHolder();
  catalog.updateIfNewer({ version: 1, queues: [], pools, maxBodyBytes: 1 });
  const hosts = Array.from({ length: hostsInWave }, (_, i): ProviderHost => ({
    host: `h${i}`,
    pool: "spare",
    state: "up",
    zone: "z",
    endpoint: "",
  }));
  const hostOrders: string[] = [];
  const orderTerms: number[] = [];
  const takings: DecisionFields[] = [];
  const heldEndpoints = new Set<string>();
  const unused = () => Promise.reject(new Error("not used"));
  const deps: ShardManagerDependencies = {
    self: { entry: "a", boot: "a#1", zone: "z", cores: 1 },
    store,
    orders: {
      start: unused,
      stop: unused,
      pace: unused,
      hold: ({ id }) => {
        heldEndpoints.add(id);
        return unused();
      },
      endIncarnation: () => {},
    },
    advisor: { advise: unused },
    control: {
      list: () => Promise.resolve(Ok(hosts)),
      maintain: (host, _wave, { term }) => {
        hostOrders.push(host);
        orderTerms.push(term);
        return new Promise((resolve) => {
          clock.after(orderMs, () => resolve({ kind: "done" }));
        });
      },
      move: unused,
    },
    requestedWaves: {
      waves: () => [{
        id: "1",
        hosts: hosts.map((h) => h.host),
        durationMs: 20_000,
        maxParallel: hostsInWave,
      }],
      publish: () => Promise.resolve(true),
    },
    catalog,
    registry: new EndpointRegistry(),
    clock,
    log: {
      decision: (event, fields) => {
        if (event === "shard-taken") takings.push(fields);
      },
    },
    onCrash: () => {},
    vacating: () => new Map(),
    plannedVacates: () => new Set(),
    refreshVacating: () => Promise.resolve(true),
    isFollowing: () => true,
    onStoreAnswer: () => {},
  };
  const start = () => new ShardManager(deps);
  /** Refreshes a manager for `ms`. */
  const run = async (manager: ShardManager, ms: number) => {
    for (let elapsed = 0; elapsed < ms; elapsed += 450) {
      manager.refresh();
      await advance(450);
    }
  };
  /** Makes another entry the owner of the pool; its process stays silent. */
  const takeAsSilentEntry = async () => {
    const holder = { entry: "z", boot: "z#1" };
    const row = { owner: undefined, version: 0 };
    const lease = ShardLease.acquire(
      connect("z"),
      clock,
      pool,
      holder,
      row,
      "ended",
    );
    await advance(100);
    return await lease;
  };
  const poolTakings = () =>
    takings.filter((t) => t.shard === pool).map((t) => t.previous);
  return {
    clock,
    deps,
    store,
    model,
    advance,
    start,
    run,
    hostOrders,
    orderTerms,
    connect,
    heldEndpoints,
    takeAsSilentEntry,
    poolTakings,
  };
}
