/** Reads of ranges that take several pages. */
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { StoreClient } from "../../platform/store_client.ts";
import { TableWatch } from "../../src/store/index.ts";

/** A row of the stand-in store. */
interface WireRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
}

function wireRow(key: string, value: string, ver: number): WireRow {
  const encoded = Buffer.from(value).toString("base64");
  return { table: "t", part: "", key, value: encoded, ver };
}

describe("StoreClient.range", () => {
  let server: Server;
  let client: StoreClient;
  /** Rows by key; each page holds one of them. */
  let rows: Map<string, WireRow>;
  let version: number;
  /** Called before a page is read. */
  let beforePage: (from: string) => void;

  function put(key: string, value: string): void {
    rows.set(key, wireRow(key, value, ++version));
  }

  function page(from: string) {
    beforePage(from);
    const left = [...rows.values()].filter((row) => row.key >= from);
    return { rows: left.slice(0, 1), ver: version, truncated: left.length > 1 };
  }

  function changesAfter(after: number) {
    return {
      rows: [...rows.values()].filter((row) => row.ver > after),
      ver: version,
    };
  }

  beforeEach(async () => {
    rows = new Map();
    version = 0;
    beforePage = () => {};
    server = createServer((req, res) => {
      const { pathname, searchParams } = new URL(req.url ?? "", "http://s");
      const body = pathname.endsWith("rows-feed")
        ? changesAfter(Number(searchParams.get("after")))
        : page(searchParams.get("from") ?? "");
      res.end(JSON.stringify(body));
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as AddressInfo;
    client = new StoreClient(`127.0.0.1:${port}`);
  });

  afterEach(async () => {
    await client.close();
    server.close();
  });

  describe("when a row of an earlier page changes between two pages", () => {
    // Guards against missed changes: a watch resumed from the version of the
    // last page, so that it never saw jobs and registrations that were written
    // between the pages of its full read.
    it("lets a watch see the change", async () => {
      put("a", "old");
      put("b", "old");
      beforePage = (from) => {
        if (from !== "") put("a", "new");
      };
      const seen = new Map<string, string>();
      const watch = new TableWatch(client, "t", [""], {
        reset: (read) => read.forEach((row) => seen.set(row.key, row.value)),
        changed: (changes) => {
          for (const { kind, row } of changes) {
            if (kind === "put") seen.set(row.key, row.value);
          }
        },
      });
      assert.ok((await watch.poll(0)).ok);
      beforePage = () => {};
      assert.ok((await watch.poll(0)).ok);
      assert.equal(seen.get("a"), "new");
    });
  });
});
