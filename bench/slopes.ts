/**
 * Measures how the costs of an entry's control work grow with the numbers of
 * hosts and pools: the size of the fleet state, the time of the functions that
 * compute on it, and the sizes of messages.
 */
import process from "node:process";
import { ownedHosts } from "../src/entry/index.ts";
import {
  applyFleetEvent,
  emptyFleet,
  epochSum,
  type FleetState,
} from "../src/fleet/index.ts";
import type { Host, Registration } from "../src/hosts/index.ts";
import {
  encodeFrame,
  type Heartbeat,
  type PeerMember,
} from "../src/peers/index.ts";
import {
  applyDelta,
  diffTables,
  Table,
  type VersionedRow,
} from "../src/table/index.ts";

const hostSizes = [40, 400, 1_900, 3_800, 7_600];
const poolSizes = [5, 16, 32, 64];
const zoneCount = 12;
const entriesPerZone = 2;
const classesPerPool = 3;
const repetitions = 20;

/** Costs at one size. */
interface SlopeRow {
  readonly hosts: number;
  readonly pools: number;
  /** Heap size of the fleet state in bytes. */
  readonly heapBytes: number;
  /** Time to apply one changed host row, in µs. */
  readonly hostUpdateUs: number;
  /** Time to compute the owners of all hosts, in µs. */
  readonly ownersUs: number;
  /** Time to compute the epoch sum of a heartbeat, in µs. */
  readonly epochSumUs: number;
  readonly heartbeatBytes: number;
  /** Size of the frame that sends one edit to a peer. */
  readonly editDeltaBytes: number;
  /** Time to compute and apply the delta of one edit, in µs. */
  readonly editUs: number;
  /** Size of the platform's answer with all host rows, as JSON. */
  readonly pollBytes: number;
}

function makeHost(i: number, pools: number): Host {
  return {
    name: `host-${i}`,
    zone: `zone-${i % zoneCount}`,
    rack: `rack-${Math.floor(i / 4)}`,
    address: `http://10.0.${Math.floor(i / 250)}.${i % 250}:8080`,
    slots: 8,
    connections: 64,
    pool: `pool-${i % pools}`,
    state: "serving",
    epoch: 1,
  };
}

function makeRegistrations(): Registration[] {
  return Array.from({ length: zoneCount }, (_, z) => ({
    zone: `zone-${z}`,
    entries: Array.from({ length: entriesPerZone }, (_, e) => ({
      entry: `entry-${z}-${e}`,
      incarnation: "1",
      zone: `zone-${z}`,
      peer: `10.1.${z}.${e}:8082`,
    })),
  }));
}

/** Returns every registered entry as a connected peer. */
function makeMembers(): PeerMember[] {
  return makeRegistrations().flatMap((row) =>
    row.entries.map(({ entry, incarnation, zone }) => ({
      hello: { kind: "hello" as const, entry, incarnation, zone, token: "" },
      heartbeat: undefined,
    }))
  );
}

/** Returns the table after an edit of one class. */
function withEditedClass(table: Table): Table {
  const key = "class/class-0-0";
  const stored = table.rows.get(key);
  if (stored === undefined) throw new Error(`no row ${key}`);
  const version = table.version + 1;
  return new Table(
    version,
    new Map(table.rows).set(key, { ...stored, version }),
  );
}

function makeTable(pools: number): Table {
  const rows: VersionedRow[] = [];
  for (let p = 0; p < pools; p++) {
    const name = `pool-${p}`;
    rows.push({
      version: 1,
      row: { kind: "pool", name, budget: 1, spare: false },
    });
    for (let c = 0; c < classesPerPool; c++) {
      rows.push({
        version: 1,
        row: {
          kind: "class",
          name: `class-${p}-${c}`,
          pool: name,
          urgency: "urgent",
          repeat: "repeatable",
          weight: 1,
          price: 1,
          rate: 0,
          concurrency: 0,
          queue: 100,
          deadlineMs: 6_400,
          runMs: 10_000,
        },
      });
    }
  }
  return Table.of(1, rows);
}

/** Builds the fleet state of the given numbers of hosts and pools. */
function buildFleet(hosts: number, pools: number): FleetState {
  const rows = Array.from({ length: hosts }, (_, i) => makeHost(i, pools));
  const withHosts = applyFleetEvent(emptyFleet, { kind: "hosts", rows }).state;
  const withRegistrations = applyFleetEvent(withHosts, {
    kind: "registrations",
    rows: makeRegistrations(),
  }).state;
  const table = makeTable(pools);
  return applyFleetEvent(withRegistrations, { kind: "table", table }).state;
}

/** Returns the used heap in bytes, after a collection if `gc` is exposed. */
function heapUsed(): number {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
}

/** Returns the median time of an operation in µs. */
function medianTimeUs(operation: (i: number) => void): number {
  const times: number[] = [];
  for (let i = 0; i < repetitions; i++) {
    const startedAt = performance.now();
    operation(i);
    times.push((performance.now() - startedAt) * 1000);
  }
  return Math.round(times.sort((a, b) => a - b)[repetitions / 2]);
}

function makeHeartbeat(fleet: FleetState, pools: number): Heartbeat {
  const loads: Heartbeat["loads"] = {};
  for (let p = 0; p < pools; p++) {
    loads[`pool-${p}`] = { slots: 64, free: 12, queued: 3, urgent: 1 };
  }
  const owned = Math.ceil(fleet.hosts.size / (zoneCount * entriesPerZone));
  const busy: Heartbeat["busy"] = {};
  for (let i = 0; i < owned; i++) busy[`host-${i}`] = 5;
  return {
    kind: "heartbeat",
    tableVersion: fleet.table.version,
    epochSum: epochSum(fleet),
    loads,
    busy,
    shuttingDown: false,
  };
}

function measureSize(hosts: number, pools: number): SlopeRow {
  const before = heapUsed();
  const fleet = buildFleet(hosts, pools);
  const heapBytes = heapUsed() - before;
  const self = { entry: "entry-0-0", incarnation: "1" };
  const members = makeMembers();
  const delta = diffTables(fleet.table, withEditedClass(fleet.table));
  return {
    hosts,
    pools,
    heapBytes,
    hostUpdateUs: medianTimeUs((i) => {
      const row = { ...makeHost(0, pools), epoch: 2 + i };
      applyFleetEvent(fleet, { kind: "hosts", rows: [row] });
    }),
    ownersUs: medianTimeUs(() => ownedHosts(fleet, self, members)),
    epochSumUs: medianTimeUs(() => epochSum(fleet)),
    heartbeatBytes: encodeFrame(makeHeartbeat(fleet, pools)).length,
    editDeltaBytes: encodeFrame({ kind: "table", delta }).length,
    editUs: medianTimeUs(() => {
      applyDelta(
        fleet.table,
        diffTables(fleet.table, withEditedClass(fleet.table)),
      );
    }),
    pollBytes: JSON.stringify([...fleet.hosts.values()]).length,
  };
}

/** Runs the benchmark and prints one JSON line per size. */
export function slopesBench(): Promise<unknown> {
  // Warms up the JIT compiler; the result is discarded.
  measureSize(hostSizes[0], poolSizes[0]);
  const rows = [
    ...hostSizes.map((hosts) => measureSize(hosts, 64)),
    ...poolSizes.map((pools) => measureSize(1_900, pools)),
  ];
  for (const row of rows) process.stdout.write(`${JSON.stringify(row)}\n`);
  const residentBytes = process.memoryUsage().rss;
  return Promise.resolve({ rows, residentBytes });
}
