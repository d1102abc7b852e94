/** What becomes of requests while an entry may not send to its endpoints. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { seededRandom } from "../../fakes/random.ts";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import { IdSource } from "../../src/clock/index.ts";
import { codes } from "../../src/errors/index.ts";
import type { EndpointClient } from "../../src/endpoint/index.ts";
import type { Host } from "../../src/hosts/index.ts";
import type { Message } from "../../src/peers/index.ts";
import {
  type CallerRequest,
  Executor,
  LocalSlots,
  outcomeCode,
  Router,
  SlotClient,
  SlotScheduler,
  SlotServer,
} from "../../src/pipeline/index.ts";
import type { ClassRow, Table } from "../../src/table/index.ts";

/** Time for which a request may wait for its start, in ms. */
const startWithinMs = 3_000;

const host: Host = {
  name: "h",
  zone: "z",
  rack: "r",
  address: "http://h",
  slots: 2,
  connections: 8,
  pool: "p",
  state: "serving",
  epoch: 1,
};

const row: ClassRow = {
  kind: "class",
  name: "quote",
  pool: "p",
  urgency: "urgent",
  repeat: "repeatable",
  weight: 1,
  price: 0,
  rate: 0,
  concurrency: 0,
  queue: 100,
  deadlineMs: startWithinMs,
  runMs: 1_000,
};

/** A table with this class only. */
const table = { class: () => row } as Partial<Table> as Table;

/** An entry with one host, whose sending a test blocks. */
function setUp() {
  const clock = new VirtualClock();
  const random = seededRandom(1);
  const ids = new IdSource("i");
  const guard = { isBlocked: false, maySend: () => !guard.isBlocked };
  const scheduler = new SlotScheduler(clock, random);
  scheduler.setHosts([host]);
  const answer = {
    kind: "answer",
    status: 200,
    headers: {},
    body: new Uint8Array(),
  } as const;
  const unused = () => Promise.reject(new Error("not used"));
  const endpoints: EndpointClient = {
    send: () => Promise.resolve(answer),
    queryRun: unused,
    health: unused,
  };
  const sent: Message[] = [];
  const peers = {
    send: (_: string, message: Message) => {
      sent.push(message);
      return true;
    },
    backlog: () => 0,
  };
  const local = new LocalSlots(scheduler, endpoints, guard, clock);
  const loads = { of: () => new Map(), set: () => {} };
  const remote = new SlotClient(peers, ids, clock);
  const router = new Router(
    scheduler,
    local,
    remote,
    loads,
    ids,
    clock,
    random,
  );
  const server = new SlotServer(scheduler, local, peers, () => table, clock);
  const executor = new Executor(router, ids, clock);
  const execute = async () => {
    const request: CallerRequest = {
      id: "r",
      class: row,
      method: "POST",
      path: "/",
      headers: {},
      body: new Uint8Array(),
      tableVersion: 1,
      startBy: clock.now() + startWithinMs,
      signal: new AbortController().signal,
    };
    const { outcome } = await executor.execute(request);
    return outcomeCode(outcome).code;
  };
  return { clock, guard, server, sent, execute };
}

describe("an entry that may not send to its endpoints", () => {
  // Guards against 2019 beside load: after a pause of the process each attempt
  // took a slot of its own hosts, and failed at once.
  it("lets a request wait until it may", async () => {
    const { clock, guard, execute } = setUp();
    guard.isBlocked = true;
    const code = execute();
    for (let ms = 0; ms < 1_000; ms += 50) await clock.advance(50);
    guard.isBlocked = false;
    for (let ms = 0; ms < 1_000; ms += 50) await clock.advance(50);
    assert.equal(await code, codes.ok.code);
  });

  it("fails the request once its start is due", async () => {
    const { clock, guard, execute } = setUp();
    guard.isBlocked = true;
    const code = execute();
    for (let ms = 0; ms < 4_000; ms += 50) await clock.advance(50);
    assert.equal(await code, codes.noHost.code);
  });

  // Guards against the same for the requests of other entries.
  it("refuses slots to other entries, so that they use others", () => {
    const { guard, server, sent } = setUp();
    guard.isBlocked = true;
    const request = { class: row.name, startInMs: startWithinMs, avoid: [] };
    server.handle("b", { kind: "acquire", id: "t1", ...request });
    assert.deepEqual(sent, [
      { kind: "refused", id: "t1", code: codes.noHost.code },
    ]);
    guard.isBlocked = false;
    server.handle("b", { kind: "acquire", id: "t2", ...request });
    assert.equal(sent[1].kind, "granted");
  });
});
