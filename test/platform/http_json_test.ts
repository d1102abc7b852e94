/** Calls that are given up. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { JsonHttp } from "../../platform/http_json.ts";

/** Time limit of the call that gets no answer, in ms. */
const timeoutMs = 100;

describe("a call to a port without a listener", () => {
  it("says that nothing was sent", async () => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    const http = new JsonHttp(`127.0.0.1:${port}`, 1);
    const answer = await http.call({ method: "GET", path: "/", timeoutMs });
    assert.equal(answer.status, undefined);
    assert.equal(answer.status === undefined && answer.notSent, true);
    await http.close();
  });
});

describe("a call that gets no answer in time", () => {
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

  it("resets its connection, so that nothing of it arrives later", async () => {
    const { port } = server.address() as AddressInfo;
    const http = new JsonHttp(`127.0.0.1:${port}`, 1);
    const answer = http.call({
      method: "POST",
      path: "/",
      body: {},
      timeoutMs,
    });
    await once(server, "connection");
    assert.ok(accepted);
    // Reads nothing, so the request waits as it does behind a partition.
    const ended = new Promise<string>((resolve) => {
      accepted?.once("error", (err: NodeJS.ErrnoException) => {
        resolve(err.code ?? err.message);
      });
      accepted?.once("end", () => resolve("closed"));
    });
    const { status } = await answer;
    accepted.resume();
    assert.equal(status, undefined);
    assert.equal(await ended, "ECONNRESET");
    await http.close();
  });
});
