/** What the registry knows of the incarnations of an id. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { EndpointRegistry } from "../../src/endpoint/index.ts";
import { endpoint } from "../scheduler/sessions.ts";

const first = endpoint("e", { life: 1 });
const second = endpoint("e", { life: 2 });

describe("the registry", () => {
  let registry: EndpointRegistry;

  beforeEach(() => {
    registry = new EndpointRegistry();
    registry.reset([]);
  });

  it("knows the first incarnation of an id that is new", () => {
    registry.apply([{ kind: "listed", endpoint: first }]);
    assert.equal(registry.isFirstLife(first), true);
    assert.equal(registry.isFirstLife(second), false);
  });

  // Guards against TWICE: an entry that began to follow the registry after an
  // endpoint had restarted did not reckon with the leases of its earlier life.
  it("takes one that a full read has found for a possible restart", () => {
    registry.reset([second]);
    assert.equal(registry.isFirstLife(second), false);
  });

  it("knows a restart, also after the row was removed", () => {
    registry.apply([
      { kind: "listed", endpoint: first },
      { kind: "removed", id: "e" },
      { kind: "listed", endpoint: second },
    ]);
    assert.equal(registry.isFirstLife(second), false);
  });
});
