/** JSON calls that fail or time out, and the decoding of responses. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { JsonClient } from "../../platform/json_client.ts";

/** Timeout of the calls that get no response, in ms. */
const timeoutMs = 100;

describe("a call to a port without a listener", () => {
  it("reports that nothing was sent", async () => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    const http = new JsonClient(`127.0.0.1:${port}`, 1);
    const response = await http.call({ method: "GET", path: "/", timeoutMs });
    assert.equal(response.status, undefined);
    assert.equal(response.status === undefined && response.notSent, true);
    await http.close();
  });
});

describe("a call that times out", () => {
  const server = createServer();
  let accepted: Socket | undefined;

  before(async () => {
    server.on("connection", (socket) => {
      accepted = socket;
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  });
  after(() => {
    accepted?.destroy();
    server.close();
  });

  it("resets its connection, so that the request can't arrive later", async () => {
    const { port } = server.address() as AddressInfo;
    const http = new JsonClient(`127.0.0.1:${port}`, 1);
    const response = http.call({
      method: "POST",
      path: "/",
      body: {},
      timeoutMs,
    });
    await once(server, "connection");
    assert.ok(accepted);
    // The server reads nothing, so the request is left undelivered, as it is
    // during a network partition.
    const ended = new Promise<string>((resolve) => {
      accepted?.once("error", (err: NodeJS.ErrnoException) => {
        resolve(err.code ?? err.message);
      });
      accepted?.once("end", () => resolve("closed"));
    });
    const { status } = await response;
    accepted.resume();
    assert.equal(status, undefined);
    assert.equal(await ended, "ECONNRESET");
    await http.close();
  });
});

describe("a call that times out while it waits for a connection", () => {
  it("is never sent", async () => {
    const receivedPaths: string[] = [];
    const server = createHttpServer((req, res) => {
      receivedPaths.push(req.url ?? "");
      setTimeout(() => res.end("{}"), 3 * timeoutMs);
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const http = new JsonClient(`127.0.0.1:${port}`, 1);
    const slow = http.call({
      method: "GET",
      path: "/slow",
      timeoutMs: 10 * timeoutMs,
    });
    const queuedCall = { method: "GET", path: "/waits", timeoutMs } as const;
    assert.equal((await http.call(queuedCall)).status, undefined);
    assert.equal((await slow).status, 200);
    await new Promise((resolve) => setTimeout(resolve, 2 * timeoutMs));
    assert.deepEqual(receivedPaths, ["/slow"]);
    await http.close();
    server.close();
  });
});

// Guards against orders that are sent in the last moments of their calls, which
// a paused endpoint carries out when it resumes.
describe("calls behind calls that time out", () => {
  it("are not sent just before their own timeout", async () => {
    const receivedPaths: string[] = [];
    const server = createHttpServer((req) => {
      receivedPaths.push(req.url ?? "");
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const http = new JsonClient(`127.0.0.1:${port}`, 1);
    const call = { method: "GET", timeoutMs: 10 * timeoutMs } as const;
    const sent = http.call({ ...call, path: "/sent" });
    await new Promise((resolve) => setTimeout(resolve, 0.8 * timeoutMs));
    const queued = http.call({ ...call, path: "/waits" });
    const statuses = [(await sent).status, (await queued).status];
    await http.close();
    server.closeAllConnections();
    server.close();
    assert.deepEqual(statuses, [undefined, undefined]);
    assert.deepEqual(receivedPaths, ["/sent"]);
  });
});

describe("a response", () => {
  it("is assembled from its chunks, undefined if empty, null if not JSON", async () => {
    const server = createHttpServer((req, res) => {
      if (req.url === "/empty") return res.end();
      if (req.url === "/text") return res.end("no JSON");
      res.write('{"name":"caf');
      setTimeout(() => res.end('\u00e9"}'), 20);
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const http = new JsonClient(`127.0.0.1:${port}`, 1);
    const call = { method: "GET", timeoutMs: 20 * timeoutMs } as const;
    const parts = await http.call({ ...call, path: "/parts" });
    const text = await http.call({ ...call, path: "/text" });
    const empty = await http.call({ ...call, path: "/empty" });
    assert.deepEqual(parts, { status: 200, body: { name: "caf\u00e9" } });
    assert.deepEqual(text, { status: 200, body: null });
    assert.deepEqual(empty, { status: 200, body: undefined });
    await http.close();
    server.close();
  });

  it("that is cut off counts as a failed call", async () => {
    const server = createHttpServer((_, res) => {
      res.writeHead(200, { "content-length": 100 });
      res.write("{");
      setTimeout(() => res.destroy(), 20);
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const http = new JsonClient(`127.0.0.1:${port}`, 1);
    const request = {
      method: "GET",
      path: "/",
      timeoutMs: 20 * timeoutMs,
    } as const;
    const response = await http.call(request);
    assert.equal(response.status, undefined);
    assert.equal(response.status === undefined && response.notSent, false);
    await http.close();
    server.close();
  });
});
