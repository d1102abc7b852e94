/** Which members beat in a fleet of many entries. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { candidatesOf, type Member } from "../../src/cluster/index.ts";

function member(entry: string, zone: string, cores: number): Member {
  return { entry, boot: entry, zone, cores, shards: [], accepting: true };
}

/** Entries of six zones, three large ones each. */
const fleet = ["a", "b", "c", "d", "e", "f"].flatMap((zone) =>
  Array.from(
    { length: 16 },
    (_, i) => member(`${zone}-${i}`, zone, i < 3 ? 1.35 : 0.324),
  )
);

describe("candidates", () => {
  it("are the largest members, some of each zone", () => {
    const chosen = candidatesOf(fleet);
    assert.equal(chosen.length, 12);
    assert.ok(chosen.every((m) => m.cores === 1.35));
    assert.equal(new Set(chosen.map((m) => m.zone)).size, 6);
  });

  it("are all members of a small fleet", () => {
    const six = fleet.slice(0, 6);
    assert.equal(candidatesOf(six).length, 6);
  });

  it("are replaced by the next of their zone, and by no other", () => {
    const chosen = candidatesOf(fleet);
    const left = fleet.filter((m) => m !== chosen[0]);
    const next = candidatesOf(left);
    const added = next.filter((m) => !chosen.includes(m));
    assert.equal(added.length, 1);
    assert.equal(added[0].zone, chosen[0].zone);
  });

  it("leave out members that take no shards", () => {
    const leaving = fleet.map((m) => ({ ...m, accepting: m.zone !== "a" }));
    assert.ok(candidatesOf(leaving).every((m) => m.zone !== "a"));
  });
});
