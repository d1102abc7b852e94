/** Tests the endpoint client against correct and faulty answers. */
import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { after, before, describe, it } from "node:test";
import { listen } from "../../fakes/json_http.ts";
import { HttpEndpointClient } from "../../src/endpoint/index.ts";
import type { Host } from "../../src/hosts/index.ts";
import type { EndpointRequest } from "../../src/pipeline/index.ts";

const fullBody = "a whole answer";

function hostAt(address: string): Host {
  return {
    name: "h1",
    zone: "z",
    rack: "r",
    address: `http://${address}`,
    slots: 2,
    connections: 8,
    pool: "p",
    state: "serving",
    epoch: 1,
  };
}

function requestOf(path: string, runMs = 5_000): EndpointRequest {
  return {
    attempt: "attempt-1",
    method: "POST",
    path,
    headers: { "briartide-request-id": "attempt-1" },
    body: new TextEncoder().encode("x"),
    runMs,
  };
}

function answer(res: ServerResponse, id: string, length = fullBody.length) {
  res.writeHead(200, {
    "briartide-request-id": id,
    "content-length": length,
  });
  res.write(fullBody);
}

describe("endpoint client", () => {
  const client = new HttpEndpointClient();
  const neverAborted = new AbortController().signal;
  const server = createServer((req, res) => {
    if (req.url === "/good") answer(res, "attempt-1");
    if (req.url === "/crossed") answer(res, "attempt-2");
    if (req.url === "/cut") {
      answer(res, "attempt-1", fullBody.length * 2);
      res.destroy();
    }
    if (req.url === "/dropped") res.destroy();
    if (req.url !== "/silent") res.end();
  });
  let host = hostAt("");

  before(async () => {
    host = hostAt(await listen(server));
  });

  after(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });

  const codeOf = async (path: string, at = host, runMs?: number) => {
    const outcome = await client.send(at, requestOf(path, runMs), neverAborted);
    return outcome.kind === "failed" ? outcome.failure.code.name : "answer";
  };

  describe("with an endpoint that answers", () => {
    it("returns the complete answer to its request", async () => {
      const outcome = await client.send(host, requestOf("/good"), neverAborted);
      assert.ok(outcome.kind === "answer");
      assert.ok(outcome.body instanceof Uint8Array);
      assert.equal(new TextDecoder().decode(outcome.body), fullBody);
    });

    it("rejects an answer with another request's id", async () => {
      assert.equal(await codeOf("/crossed"), "wrong-answer");
    });

    it("never returns a truncated answer as complete", async () => {
      const code = await codeOf("/cut");
      assert.ok(["truncated", "connection-lost"].includes(code), code);
    });
  });

  describe("with an endpoint that fails", () => {
    it("reports connection-lost if the server drops the request", async () => {
      assert.equal(await codeOf("/dropped"), "connection-lost");
    });

    it("reports run-timeout if the run takes too long", async () => {
      assert.equal(await codeOf("/silent", host, 300), "run-timeout");
    });

    it("reports connect-failed if nothing listens", async () => {
      const closedServer = createTcpServer();
      const address = await listen(closedServer);
      closedServer.close();
      assert.equal(await codeOf("/good", hostAt(address)), "connect-failed");
    });
  });
});
