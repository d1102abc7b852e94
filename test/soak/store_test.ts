/** Tests the soak's store against the page on the platform's store. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { StoreStandIn } from "../../soak/store.ts";

/** A row as the store sends it. */
interface WireRow {
  readonly key: string;
  readonly ver: number;
  readonly tombstone?: boolean;
}

/** What the tests read of an answer. */
interface Answer {
  readonly status: number;
  readonly ver?: number;
  readonly rows?: readonly WireRow[];
  readonly parts?: readonly string[];
  readonly truncated?: boolean;
}

describe("the store of the soak", () => {
  let store: StoreStandIn;
  let address: string;

  const get = async (path: string): Promise<Answer> => {
    const res = await fetch(`http://${address}/-/${path}`);
    return { status: res.status, ...await res.json() as object };
  };

  const transact = async (tx: object): Promise<Answer> => {
    const res = await fetch(`http://${address}/-/rows-tx`, {
      method: "POST",
      body: JSON.stringify(tx),
    });
    return { status: res.status, ...await res.json() as object };
  };

  /** A row to be written. */
  const row = (key: string, part = "p") => ({
    table: "t",
    part,
    key,
    value: "eA==",
  });

  beforeEach(async () => {
    store = new StoreStandIn();
    address = await store.listen();
  });

  afterEach(() => store.close());

  describe("a part that is down", () => {
    it("refuses transactions and reads, and no other part does", async () => {
      store.isDown = (part) => part === "p";
      assert.equal((await transact({ puts: [row("a")] })).status, 503);
      assert.equal((await get("rows-get?table=t&part=p")).status, 503);
      assert.equal((await transact({ puts: [row("a", "q")] })).status, 200);
      assert.equal((await get("rows-get?table=t&part=q")).status, 200);
    });

    it("has not performed what it refused", async () => {
      store.isDown = () => true;
      await transact({ puts: [row("a")] });
      store.isDown = () => false;
      assert.deepEqual((await get("rows-get?table=t&part=p")).rows, []);
    });
  });

  describe("a transaction", () => {
    it("is applied if its checks are met", async () => {
      const first = await transact({ puts: [row("a")] });
      const expected = [{ table: "t", part: "p", key: "a", ver: first.ver }];
      const next = await transact({ expected, puts: [row("b")] });
      assert.equal(next.status, 200);
    });

    it("changes nothing if a check is not met, and tells the row", async () => {
      await transact({ puts: [row("a")] });
      const expected = [{ table: "t", part: "p", key: "a", ver: 0 }];
      const next = await transact({ expected, puts: [row("b")] });
      assert.equal(next.status, 412);
      assert.deepEqual(next.rows?.map(({ key }) => key), ["a"]);
      const { rows } = await get("rows-get?table=t&part=p");
      assert.deepEqual(rows?.map(({ key }) => key), ["a"]);
    });

    it("has rows of one part only", async () => {
      const tx = { puts: [row("a"), row("b", "q")] };
      assert.equal((await transact(tx)).status, 400);
    });

    it("can't write the rows of the operator and of endpoints", async () => {
      const puts = [{ table: "servers", part: "", key: "a", value: "eA==" }];
      assert.equal((await transact({ puts })).status, 403);
    });
  });

  describe("a range", () => {
    beforeEach(() => transact({ puts: ["c", "a", "b"].map((k) => row(k)) }));

    it("is in the order of its keys, without its end", async () => {
      const { rows } = await get("rows-get?table=t&part=p&from=a&to=c");
      assert.deepEqual(rows?.map(({ key }) => key), ["a", "b"]);
    });

    it("tells that it was cut short", async () => {
      const page = await get("rows-get?table=t&part=p&limit=2");
      assert.equal(page.truncated, true);
      assert.equal(page.rows?.length, 2);
    });
  });

  describe("a feed", () => {
    it("tells changes and removals in order", async () => {
      const { ver = 0 } = await transact({ puts: [row("a")] });
      await transact({ puts: [row("b")] });
      const remove = [{ table: "t", part: "p", key: "a" }];
      await transact({ remove });
      const feed = await get(`rows-feed?table=t&after=${ver}`);
      const seen = feed.rows?.map(({ key, tombstone }) =>
        `${key} ${tombstone ?? false}`
      );
      assert.deepEqual(seen, ["b false", "a true"]);
    });

    it("waits for a change", async () => {
      const feed = get("rows-feed?table=servers&after=0&waitMs=5000");
      store.put("servers", "i-1", { state: "ready" });
      assert.deepEqual((await feed).rows?.map(({ key }) => key), ["i-1"]);
    });

    it("ends without changes after its wait", async () => {
      const feed = await get("rows-feed?table=t&after=0&waitMs=20");
      assert.deepEqual(feed.rows, []);
    });
  });
});
