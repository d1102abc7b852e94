/** Who gives way when a process holds as much for its clients as it may. */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { EventEmitter } from "node:events";
import { beforeEach, describe, it } from "node:test";
import { Ok } from "ts-results";
import { ConnectionBudget } from "../../src/connection_budget/index.ts";
import { GuardedConnection } from "../../src/connection_budget/connection.ts";
import { GuardedRequest } from "../../src/connection_budget/request.ts";

/** The budget of the tests, in bytes. */
const maxBytes = 1_000_000;

/** Stands for a socket, of which only the address and the end matter. */
class FakeSocket {
  destroyed = false;
  constructor(readonly remoteAddress: string) {}
  destroy(): void {
    this.destroyed = true;
  }
}

/** Stands for a response, which is ended by the test. */
class FakeResponse extends EventEmitter {
  writableEnded = false;
}

describe("the budget of the connections", () => {
  let now: number;
  let limits: string[];
  let budget: ConnectionBudget;

  beforeEach(() => {
    now = 0;
    limits = [];
    budget = new ConnectionBudget(
      maxBytes,
      { onLimit: (limit, address) => limits.push(`${limit} ${address}`) },
      { now: () => now },
    );
  });

  function connect(address: string) {
    now++;
    const socket = new FakeSocket(address);
    return {
      socket,
      connection: new GuardedConnection(budget, socket as unknown as Socket),
    };
  }

  function receive(connection: GuardedConnection) {
    now++;
    const req = { rawHeaders: [], url: "/" } as unknown as IncomingMessage;
    const res = new FakeResponse();
    const request = new GuardedRequest(
      connection,
      req,
      res as unknown as ServerResponse,
    );
    return { request, res };
  }

  /** Receives a request whose body of `bytes` bytes does not end. */
  function receiveUnfinished(address: string, bytes: number) {
    const { connection, socket } = connect(address);
    const { request, res } = receive(connection);
    request.whileReading((onDrop) => {
      onDrop(() => request.release(bytes));
      return new Promise(() => {});
    });
    const isHeld = request.hold(bytes);
    return { connection, socket, request, res, isHeld };
  }

  it("takes back all that a closed connection held", () => {
    const { connection } = receiveUnfinished("a", 5_000);
    assert.ok(budget.heldBytes > 5_000);
    connection.destroy();
    assert.deepEqual([budget.heldBytes, budget.connectionCount], [0, 0]);
  });

  it("takes back what a request held when its response is sent", () => {
    const { connection } = connect("a");
    const idleBytes = budget.heldBytes;
    const { request, res } = receive(connection);
    request.hold(5_000);
    request.noteResponse(300);
    assert.equal(budget.heldBytes, idleBytes + 5_300);
    res.emit("close");
    assert.equal(budget.heldBytes, idleBytes);
  });

  it("drops the body without progress for longest", () => {
    const first = receiveUnfinished("a", 200_000);
    const second = receiveUnfinished("a", 200_000);
    receiveUnfinished("a", 200_000);
    first.request.noteProgress();
    now++;
    first.connection.noteProgress();
    const last = receiveUnfinished("a", 200_000);
    assert.ok(last.isHeld);
    assert.deepEqual(limits, ["body-dropped a"]);
    assert.ok(second.request.isDropped && !first.request.isDropped);
  });

  it("drops a body of the address that holds most", () => {
    const small = receiveUnfinished("small", 50_000);
    const large = receiveUnfinished("large", 480_000);
    receiveUnfinished("large", 200_000);
    assert.ok(receiveUnfinished("other", 400_000).isHeld);
    assert.ok(large.request.isDropped && !small.request.isDropped);
  });

  it("closes connections whose responses are not read", () => {
    const { connection, socket } = connect("a");
    const { request, res } = receive(connection);
    res.writableEnded = true;
    request.noteResponse(700_000);
    assert.ok(receiveUnfinished("b", 400_000).isHeld);
    assert.ok(socket.destroyed);
    assert.deepEqual(limits, ["answer-dropped a"]);
  });

  /** Connects and receives header lines of `bytes` bytes that do not end. */
  function receiveHeaderLines(address: string, bytes: number) {
    const { connection, socket } = connect(address);
    connection.receive(Buffer.alloc(bytes, "x"));
    return { connection, socket };
  }

  // Guards against a process that runs out of memory: header lines counted for
  // nothing before they were complete.
  it("closes connections whose header lines do not end", () => {
    const { socket } = receiveHeaderLines("a", 700_000);
    assert.ok(budget.heldBytes > 690_000);
    assert.ok(receiveUnfinished("b", 400_000).isHeld);
    assert.ok(socket.destroyed);
    assert.deepEqual(limits, ["headers-dropped a"]);
  });

  it("takes back the header lines of a request that has come", () => {
    const idleBytes = budget.heldBytes;
    const { connection } = receiveHeaderLines("a", 700_000);
    const { res } = receive(connection);
    res.emit("close");
    connection.destroy();
    assert.equal(budget.heldBytes, idleBytes);
  });

  it("charges nothing for the header lines of an ordinary request", () => {
    const { connection } = connect("a");
    const idleBytes = budget.heldBytes;
    connection.receive(Buffer.from("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n"));
    assert.equal(budget.heldBytes, idleBytes);
  });

  describe("while all requests are being handled", () => {
    beforeEach(() => {
      const { request } = receive(connect("a").connection);
      assert.ok(request.hold(600_000));
    });

    it("refuses more to an address that holds half, and breaks off none", () => {
      const { request } = receive(connect("a").connection);
      assert.equal(request.hold(200_000), false);
      assert.deepEqual(limits, ["held-bytes a"]);
    });

    // Guards against memory that is held and not counted: a handler holds what
    // its request came with until it is done.
    it("closes none for the header lines of a request sent ahead", () => {
      const { connection, socket } = connect("b");
      receive(connection).request.hold(200_000);
      connection.receive(Buffer.alloc(700_000, "x"));
      assert.equal(socket.destroyed, false);
      assert.ok(budget.heldBytes > 800_000);
    });

    it("grants it to another address", () => {
      const { request } = receive(connect("b").connection);
      assert.equal(request.hold(200_000), true);
    });
  });

  describe("given too many connections", () => {
    it("closes the idle one without progress for longest", () => {
      const all = ["a", "b", "a"].map(connect);
      const open = all.map(({ connection }) => connection);
      const closed = budget.freeConnection(open, "new");
      assert.equal(closed, all[0].connection);
      assert.ok(all[0].socket.destroyed);
    });

    it("closes none whose request is being handled", () => {
      const { connection } = connect("a");
      receive(connection);
      assert.equal(budget.freeConnection([connection], "new"), undefined);
      assert.deepEqual(limits, ["connections new"]);
    });

    it("may close one whose body is incomplete, but not when it is read", async () => {
      const { connection } = connect("a");
      const { request } = receive(connection);
      const reading = request.whileReading(() =>
        Promise.resolve(Ok(new Uint8Array()))
      );
      assert.ok(connection.isExpendable);
      await reading;
      assert.ok(!connection.isExpendable);
    });
  });
});
