/** Servers that keep limits on their connections and requests. */
import assert from "node:assert/strict";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import {
  ConnectionBudget,
  type ConnectionLimits,
  createGuardedServer,
  defaultConnectionLimits,
  readBody,
  sendResponse,
} from "../../src/connection_budget/index.ts";

const host = "127.0.0.1";
const headers = "Host: h\r\n";

describe("a guarded server", () => {
  let server: Server;
  const sockets: Socket[] = [];

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.closeAllConnections();
    server.close();
  });

  async function listen(
    handle: (req: IncomingMessage, res: ServerResponse) => void,
    changed: Partial<ConnectionLimits> = {},
  ): Promise<ConnectionBudget> {
    const limits = { ...defaultConnectionLimits, ...changed };
    const budget = new ConnectionBudget(limits.heldBytes);
    server = createGuardedServer({ budget, limits }, handle);
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
    return budget;
  }

  /** Sends bytes; resolves with all that came when the connection ends. */
  function exchange(text: string, isDone = (_: string) => false) {
    const { port } = server.address() as AddressInfo;
    return new Promise<string>((resolve) => {
      const socket = connect(port, host, () => socket.write(text));
      sockets.push(socket);
      let reply = "";
      socket.on("data", (chunk) => {
        reply += chunk;
        if (isDone(reply)) resolve(reply);
      });
      socket.on("error", () => {});
      socket.on("close", () => resolve(reply));
    });
  }

  const respond = (req: IncomingMessage, res: ServerResponse, body: string) =>
    sendResponse(req, res, {
      status: 200,
      headers: { "content-length": body.length },
      body,
    });

  /** Responds with the size of the body, or the result code of a failure. */
  const measureBody = async (req: IncomingMessage, res: ServerResponse) => {
    const body = await readBody(req, 1_000);
    respond(req, res, String(body.ok ? body.val.length : body.val.code.code));
  };

  it("reads a body whatever the size of its chunks", async () => {
    await listen(measureBody);
    const reply = await exchange(
      `POST / HTTP/1.1\r\n${headers}Connection: close\r\n` +
        `Transfer-Encoding: chunked\r\n\r\n${
          "1\r\nx\r\n".repeat(900)
        }0\r\n\r\n`,
    );
    assert.match(reply, /\r\n\r\n900$/);
  });

  it("serves requests that were sent ahead, up to the limit", async () => {
    await listen((req, res) => respond(req, res, "x"), { requestsAhead: 8 });
    const request = `GET / HTTP/1.1\r\n${headers}\r\n`;
    const count = (reply: string) => reply.split("200 OK").length - 1;
    const reply = await exchange(request.repeat(8), (r) => count(r) === 8);
    assert.equal(count(reply), 8);
  });

  it("closes a connection with more, and handles none of the rest", async () => {
    let handled = 0;
    await listen(() => handled++, { requestsAhead: 8 });
    await exchange(`GET / HTTP/1.1\r\n${headers}\r\n`.repeat(3_000));
    assert.equal(handled, 8);
  });

  it("refuses a body that is announced as too large before it comes", async () => {
    await listen(measureBody);
    const reply = await exchange(
      `POST / HTTP/1.1\r\n${headers}Content-Length: 90000\r\n\r\n`,
    );
    assert.match(reply, /connection: close/i);
    assert.match(reply, /2010$/);
  });

  it("keeps the connection of a refused request with a short body", async () => {
    await listen((req, res) => respond(req, res, "no"));
    const post = `POST / HTTP/1.1\r\n${headers}Content-Length: 3\r\n\r\nabc`;
    const both = (reply: string) => reply.split("200 OK").length === 3;
    assert.ok(both(await exchange(post + post, both)));
  });

  it("refuses a request for which there is no room, as not run", async () => {
    let handled = 0;
    await listen(() => handled++, { heldBytes: 6_000 });
    const reply = await exchange(
      `GET / HTTP/1.1\r\n${headers}\r\n`,
      (text) => text.endsWith("}"),
    );
    assert.match(reply, /^HTTP\/1.1 503 /);
    assert.match(reply, /retry-after: 1/);
    assert.match(reply, /"run":"not-run"/);
    assert.equal(handled, 0);
  });

  it("serves a request with header lines up to the limit", async () => {
    await listen((req, res) => respond(req, res, "x"));
    const lines = "a:\r\n".repeat(5_000);
    const reply = await exchange(
      `GET / HTTP/1.1\r\n${headers}${lines}\r\n`,
      (text) => text.endsWith("x"),
    );
    assert.match(reply, /^HTTP\/1.1 200 /);
  });

  it("closes a connection for whose header lines there is no room", async () => {
    const budget = await listen(() => {}, { heldBytes: 16_000 });
    const lines = "a:\r\n".repeat(5_000);
    await exchange(`GET / HTTP/1.1\r\n${headers}${lines}`);
    assert.equal(budget.heldBytes, 0);
  });

  it("closes a connection for whose trailers there is no room", async () => {
    const budget = await listen(measureBody, { heldBytes: 30_000 });
    const lines = "a:\r\n".repeat(5_000);
    await exchange(
      `POST / HTTP/1.1\r\n${headers}Transfer-Encoding: chunked\r\n\r\n` +
        `1\r\nx\r\n0\r\n${lines}`,
    );
    assert.equal(budget.heldBytes, 0);
  });

  it("refuses a request without the header that names the host", async () => {
    await listen((req, res) => respond(req, res, "x"));
    const reply = await exchange(
      "GET / HTTP/1.1\r\n\r\n",
      (text) => text.endsWith("}"),
    );
    assert.match(reply, /^HTTP\/1.1 400 /);
  });

  it("keeps nothing of the body of a refused request", async () => {
    const text = `POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n${
      "1\r\nx\r\n".repeat(100_000)
    }0\r\n\r\n`;
    await listen(() => {});
    let received: Socket | undefined;
    server.on("connection", (socket) => received = socket);
    assert.match(await exchange(text), /^HTTP\/1.1 400 /);
    assert.equal(received?.bytesRead, text.length);
  });

  it("closes the longest idle connection for one more", async () => {
    const budget = await listen(
      (req, res) => respond(req, res, "x"),
      { connections: 3 },
    );
    const request = `GET / HTTP/1.1\r\n${headers}\r\n`;
    for (let i = 0; i < 10; i++) {
      const reply = await exchange(request, (text) => text.endsWith("x"));
      assert.match(reply, /200 OK/);
    }
    assert.equal(budget.connectionCount, 3);
  });

  it("holds nothing when all have left", async () => {
    const budget = await listen(measureBody);
    const post = `POST / HTTP/1.1\r\n${headers}Content-Length: 900\r\n\r\n`;
    await exchange(post + "x".repeat(900), (text) => text.endsWith("900"));
    for (const socket of sockets) socket.resetAndDestroy();
    while (budget.connectionCount > 0) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    assert.equal(budget.heldBytes, 0);
  });
});
