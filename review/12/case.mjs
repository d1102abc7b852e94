/**
 * A wave of upkeep runs while the store is down in part, again and again: the
 * partitions that hold the entries' heartbeats refuse calls. Checks rule ONE: no
 * order about a machine with a lower fence number after one with a higher.
 */
import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Cloud } from "../stand_ins_3/cloud.mjs";
import { Entries } from "../stand_ins_3/entries.mjs";
import { sleep } from "../stand_ins_3/http.mjs";
import { Record } from "../stand_ins_3/record.mjs";
import { Store } from "../stand_ins_3/store.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = new Record(dirname(fileURLToPath(import.meta.url)));
const store = new Store();
const cloud = new Cloud();
const entries = new Entries();

const outageMs = 6_000;
const pauseMs = 3_500;
const rounds = 10;
const machines = 400;
/** Time between the starts of two entries, in ms. */
const startGapMs = 150;

/** Orders with a lower fence number after one with a higher, per machine. */
function staleOrders() {
  const highest = new Map();
  const stale = [];
  for (const order of cloud.orders) {
    const before = highest.get(order.machine);
    if (before !== undefined && order.fence < before.fence) {
      stale.push([before, order]);
    } else highest.set(order.machine, order);
  }
  return stale;
}

async function play() {
  await store.start();
  await cloud.start();
  const names = [];
  for (let i = 0; i < machines; i++) {
    const name = `m-${String(i).padStart(4, "0")}`;
    names.push(name);
    cloud.machines.set(name, {
      pool: "spare",
      state: "up",
      zone: i % 2 === 0 ? "zone-a" : "zone-b",
      capacity: { cpu: 16_000, memMb: 65_536, gpu: 0 },
      id: "",
    });
  }
  store.putJson("op", "config", {
    version: 3,
    routes: [],
    services: [{ name: "work" }, { name: "spare", standby: true }],
    limits: {},
  });
  for (const id of ["front-a-1", "front-b-1", "front-c-1"]) {
    await sleep(startGapMs);
    await entries.start({
      id,
      zone: id.slice(6, 7),
      store: store.address,
      hosts: cloud.address,
    });
  }
  if (!await entries.ready()) return 2;
  record.add("entries are ready");
  await sleep(2_000);
  store.putJson("op", "wave/1", {
    wave: 1,
    machines: names,
    durationS: 110,
    maxCount: 3,
  });
  record.add(`wave 1: ${machines} machines, 3 at once`);
  const parts = new Set();
  store.onCommitted = ({ puts }) => {
    for (const { table, part, value } of puts) {
      if (table === "members") parts.add(part);
      if (table !== "owner" || part !== "fleet") continue;
      const text = Buffer.from(value, "base64").toString("utf8");
      const { entry, term, commits } = JSON.parse(text);
      if (commits === 0) record.add(`${entry} takes the fleet, term ${term}`);
    }
  };
  await sleep(1_500);
  for (let round = 1; round <= rounds; round++) {
    if (hasTrouble) {
      store.isDown = (table, part) => table === "members" && parts.has(part);
      record.add(
        `down for ${outageMs} ms: ${[...parts].join(", ")}; ` +
          `${parts.size} of ${store.parts.size} partitions`,
      );
    }
    await sleep(outageMs);
    store.isDown = () => false;
    if (hasTrouble) record.add("the store is whole again");
    if (staleOrders().length > 0) break;
    await sleep(pauseMs);
  }
  await sleep(1_000);
  for (const { at, kind, machine, holder, fence, status } of cloud.orders) {
    record.add(
      `${kind} of ${machine} by ${holder}, fence ${fence}: ${status}`,
      at,
    );
  }
  if (cloud.orders.length === 0) return 2;
  const stale = staleOrders();
  for (const [before, order] of stale) {
    record.add(
      `BROKEN: ${order.machine}: fence ${order.fence} of ${order.holder} ` +
        `${Math.round(order.at - before.at)} ms after fence ${before.fence} ` +
        `of ${before.holder}`,
      order.at,
    );
  }
  return stale.length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await play();
} catch (err) {
  record.add(`could not run: ${err.stack}`);
} finally {
  await entries.end();
  store.close();
  cloud.close();
  record.add(`exit code ${code}`);
  record.write();
}
process.exit(code);
