/** Tests what the answers of the host service say about an order. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { HostClient } from "../../platform/host_client.ts";
import { startStatusServer, type StatusServer } from "./status_server.ts";

const sender = { entry: "a", term: 3 };

describe("the answer to a host order", () => {
  let server: StatusServer;
  let client: HostClient;
  before(async () => {
    server = await startStatusServer();
    client = new HostClient(server.address);
  });
  after(async () => {
    await client.close();
    server.close();
  });
  const outcomesOf = async (status: number) => {
    server.status = status;
    const outcomes = [
      await client.maintain("h", "1", sender),
      await client.move("h", "p", sender),
    ];
    return outcomes.map(({ kind }) => kind);
  };

  // Guards against orders that are carried out although they count as refused:
  // a second host is taken down beside the first (LIMIT).
  for (const status of [201, 404, 408, 421, 500, 502, 503, 504]) {
    it(`says nothing about its effect with the status ${status}`, async () => {
      assert.deepEqual(await outcomesOf(status), ["unknown", "unknown"]);
    });
  }

  for (const status of [400, 409]) {
    it(`rejects it with the status ${status}`, async () => {
      assert.deepEqual(await outcomesOf(status), ["rejected", "rejected"]);
    });
  }

  it("throttles it with the status 429", async () => {
    assert.deepEqual(await outcomesOf(429), ["throttled", "throttled"]);
  });

  it("confirms it with the status 200", async () => {
    assert.deepEqual(await outcomesOf(200), ["done", "done"]);
  });
});
