/** Tests that no transaction over several partitions is sent to the store. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { StoreClient } from "../../platform/store_client.ts";
import type { StoreTransaction } from "../../src/store/index.ts";

/** The part of a transaction's body that the store looks at first. */
interface Body {
  readonly across?: boolean;
  readonly expected: readonly { readonly part: string }[];
  readonly puts: readonly { readonly part: string }[];
  readonly remove: readonly { readonly part: string }[];
}

/** Status of the store's response, by its rule on partitions. */
function statusOf({ expected, puts, remove }: Body): number {
  const entries = [...expected, ...puts, ...remove];
  const partitions = new Set(entries.map((e) => e.part));
  return partitions.size <= 1 ? 200 : 400;
}

const owner = { table: "owner", partition: "p", key: "owner" };
const inbox = { table: "inbox-p", partition: "p/3", key: "job" };
const ownerEntries = {
  checks: [{ ...owner, version: 1 }],
  puts: [{ ...owner, value: "{}" }],
};

describe("a transaction of the store", () => {
  let server: Server;
  let client: StoreClient;
  let bodies: Body[] = [];
  before(async () => {
    server = createServer(async (req, res) => {
      let text = "";
      for await (const chunk of req) text += chunk;
      const body = JSON.parse(text);
      bodies.push(body);
      res.writeHead(statusOf(body), { "content-type": "application/json" });
      res.end('{"ver":2}');
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    client = new StoreClient(`127.0.0.1:${port}`);
  });
  after(async () => {
    await client.close();
    server.close();
  });
  const commit = async (tx: StoreTransaction) => {
    bodies = [];
    const outcome = await client.commit(tx);
    return outcome.ok && outcome.val.kind;
  };

  describe("whose entries are in several partitions", () => {
    // Guards against LOST: the store accepts no such transaction, and its owner
    // repeated the removal of a final job's rows with all further changes.
    it("is invalid, and is not sent", async () => {
      const outcome = await client.commit({
        ...ownerEntries,
        removes: [inbox],
      });
      assert.equal(outcome.err && outcome.val.kind, "invalid");
      assert.deepEqual(bodies, []);
    });
  });

  describe("whose entries are in one partition", () => {
    // Guards against transactions that take twice as long for nothing.
    it("does not ask for several", async () => {
      const tx = { ...ownerEntries, removes: [{ ...inbox, partition: "p" }] };
      assert.equal(await commit(tx), "committed");
      assert.equal(bodies[0].across, undefined);
    });
  });
});
