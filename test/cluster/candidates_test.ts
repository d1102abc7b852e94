/** Tests the selection of candidates in a cluster of many entries. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type ClusterMember,
  selectCandidates,
} from "../../src/cluster/index.ts";

function member(entry: string, zone: string, cores: number): ClusterMember {
  return { entry, boot: entry, zone, cores, shards: [], accepting: true };
}

/** Six zones of sixteen entries, three of which are large in each zone. */
const fleet = ["a", "b", "c", "d", "e", "f"].flatMap((zone) =>
  Array.from(
    { length: 16 },
    (_, i) => member(`${zone}-${i}`, zone, i < 3 ? 1.35 : 0.324),
  )
);

describe("candidates", () => {
  it("are the largest members, two of each zone", () => {
    const selected = selectCandidates(fleet);
    assert.equal(selected.length, 12);
    assert.ok(selected.every((m) => m.cores === 1.35));
    assert.equal(new Set(selected.map((m) => m.zone)).size, 6);
  });

  it("are all members of a small cluster", () => {
    const six = fleet.slice(0, 6);
    assert.equal(selectCandidates(six).length, 6);
  });

  it("are replaced by one member of their own zone", () => {
    const selected = selectCandidates(fleet);
    const remaining = fleet.filter((m) => m !== selected[0]);
    const next = selectCandidates(remaining);
    const added = next.filter((m) => !selected.includes(m));
    assert.equal(added.length, 1);
    assert.equal(added[0].zone, selected[0].zone);
  });

  it("exclude members that accept no shards", () => {
    const leaving = fleet.map((m) => ({ ...m, accepting: m.zone !== "a" }));
    assert.ok(selectCandidates(leaving).every((m) => m.zone !== "a"));
  });
});
