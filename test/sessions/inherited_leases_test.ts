/** Tests how long a new owner reckons with the leases of earlier ones. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import type { PreviousOwner } from "../../src/cluster/index.ts";
import { EndpointRegistry } from "../../src/endpoint/index.ts";
import { InheritedLeases } from "../../src/sessions/inherited_leases.ts";

/** Age of its last commit up to which an owner extends leases, in ms. */
const maxCommitAgeMs = 4_500;

/** Longest lease that an owner asks for, with drift and delivery, in ms. */
const leaseMs = 5_200;

/** Time for which the leases last after the takeover, in ms. */
function remainingMs(previous: PreviousOwner): number {
  const clock = new VirtualClock();
  const registry = new EndpointRegistry();
  const leases = new InheritedLeases({ clock, previous, registry });
  return leases.bound.endsBy - clock.now();
}

/** The same after an owner whose last commit was `ageMs` old. */
function remainingAfterMs(ageMs: number): number {
  const committedBy = new VirtualClock().now() - ageMs;
  return remainingMs({ state: "silent", committedBy });
}

describe("the leases that a new owner inherits", () => {
  it("last as long as one lease after an owner that has ended", () => {
    assert.equal(remainingMs({ state: "ended" }), leaseMs);
  });

  // Guards against TWICE: the last commit of a silent owner was taken to be
  // 1.35 s old, and its runs were given up while they were in progress.
  it("last longer the younger the last commit of a silent owner is", () => {
    for (const ageMs of [900, 1_350, 3_000]) {
      const expected = maxCommitAgeMs - ageMs + leaseMs;
      assert.equal(remainingAfterMs(ageMs), expected);
    }
  });

  it("last no longer than one lease after a commit that is too old", () => {
    assert.equal(remainingAfterMs(maxCommitAgeMs), leaseMs);
    assert.equal(remainingAfterMs(20_000), leaseMs);
  });
});
