/** Tests which incarnation of an endpoint the registry lists. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../sim/virtual_clock.ts";
import {
  EndpointRegistry,
  type TaskEndpoint,
} from "../../src/endpoint/index.ts";
import { endpoint } from "../scheduler/sessions.ts";

const younger = 2_000;
const older = 1_000;

function setUp() {
  const clock = new VirtualClock();
  const registry = new EndpointRegistry(clock);
  const list = (life: number, changes: Partial<TaskEndpoint> = {}) =>
    registry.apply([{
      kind: "listed",
      endpoint: endpoint("e", { life, ...changes }),
    }]);
  const remove = () => registry.apply([{ kind: "removed", id: "e" }]);
  const life = () => registry.inPool("p").at(0)?.life;
  return { clock, registry, list, remove, life };
}

describe("the registry of endpoints", () => {
  describe("when a row of an older incarnation follows a younger one", () => {
    // Guards against TWICE: a registration that the store performs late, after
    // its endpoint has restarted, ended the session of the living incarnation.
    it("lists the younger one", () => {
      const { list, life } = setUp();
      list(younger);
      list(older);
      assert.equal(life(), younger);
    });

    // Guards against the same through a read of the whole table.
    it("lists the younger one after a full read, too", () => {
      const { registry, list, life } = setUp();
      list(younger);
      registry.reset([endpoint("e", { life: older })]);
      assert.equal(life(), younger);
    });

    // Guards against the same after a gap in the registration.
    it("lists neither if the younger one was removed", () => {
      const { registry, list, remove, life } = setUp();
      list(younger);
      remove();
      list(older);
      assert.equal(life(), undefined);
      registry.reset([]);
      list(older);
      assert.equal(life(), undefined);
      list(younger);
      assert.equal(life(), younger);
    });
  });

  describe("when a restart sets the endpoint's wall clock back", () => {
    // Guards against an endpoint that is never used again.
    it("lists the incarnation that still registers after 10 s", async () => {
      const { clock, registry, list, life } = setUp();
      list(younger);
      list(older);
      await clock.advance(5_000);
      list(older);
      assert.equal(life(), younger);
      await clock.advance(5_000);
      list(older, { draining: true });
      assert.equal(life(), older);
      assert.equal(registry.get("e")?.draining, true);
      list(older);
      assert.equal(registry.get("e")?.draining, false);
    });

    it("counts the time from the last row of the younger one", async () => {
      const { clock, list, life } = setUp();
      list(younger);
      list(older);
      await clock.advance(9_000);
      list(younger);
      list(older);
      await clock.advance(9_000);
      list(older);
      assert.equal(life(), younger);
    });

    it("counts the time from a removal", async () => {
      const { clock, list, remove, life } = setUp();
      list(younger);
      list(older);
      await clock.advance(9_000);
      remove();
      list(older);
      await clock.advance(9_000);
      list(older);
      assert.equal(life(), undefined);
      await clock.advance(1_000);
      list(older);
      assert.equal(life(), older);
    });
  });

  // Guards against a registry that grows with each endpoint that leaves.
  it("forgets the incarnations of ids that left long ago", () => {
    const { registry, list, remove, life } = setUp();
    list(younger);
    remove();
    for (let i = 0; i <= 10_000; i++) {
      registry.apply([
        { kind: "listed", endpoint: endpoint(`e${i}`, { pool: "q" }) },
        { kind: "removed", id: `e${i}` },
      ]);
    }
    list(older);
    assert.equal(life(), older);
  });

  it("lists a later incarnation at once", () => {
    const { list, life } = setUp();
    list(older);
    list(younger);
    assert.equal(life(), younger);
  });
});
