/** Tests the names of the shards. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  fleetShard,
  poolOfShard,
  shardOfPool,
} from "../../src/cluster/index.ts";

const pools = ["fleet", "fleet:pool", "fleet:pool:pool", "fleet2", "a", ""];

describe("the name of a pool's shard", () => {
  // Guards against LOST: the pool and the fleet had one shard.
  it("is never that of the fleet or of another pool", () => {
    const shards = new Set([fleetShard, ...pools.map(shardOfPool)]);
    assert.equal(shards.size, pools.length + 1);
  });

  it("is the pool's, unless that is taken", () => {
    assert.deepEqual(["fleet2", "a", ""].map(shardOfPool), ["fleet2", "a", ""]);
  });

  it("tells the pool", () => {
    assert.deepEqual(pools.map(shardOfPool).map(poolOfShard), pools);
    assert.equal(poolOfShard(fleetShard), undefined);
  });
});
