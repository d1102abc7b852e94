/** Tests offers of empty endpoints, including those of an earlier owner. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostOffers } from "../../src/capacity/index.ts";
import { poolEndpoint } from "./pool_endpoints.ts";

const endpoints = ["a", "b", "c"].map((id) => poolEndpoint(id));

describe("host offers", () => {
  describe("when the pool needs fewer hosts", () => {
    it("offers surplus endpoints and closes them to tasks", () => {
      const offers = new HostOffers();
      offers.adjust(endpoints, 2);
      assert.equal(offers.offered.length, 1);
      assert.equal(offers.isClosed(offers.offered[0], 0), true);
    });
  });

  describe("when the need rises while endpoints are offered", () => {
    it("reopens them only some time after the withdrawal is stored", () => {
      const offers = new HostOffers();
      offers.adjust(endpoints, 2);
      const [id] = offers.offered;
      offers.adjust(endpoints, 3);
      assert.deepEqual(offers.offered, []);
      assert.equal(offers.isClosed(id, 10_000), true);
      offers.confirmStored(10_000);
      assert.equal(offers.isClosed(id, 10_100), true);
      assert.equal(offers.isClosed(id, 10_600), false);
      assert.equal(offers.mayBeMoved(id, 10_600), true);
    });
  });

  describe("when an earlier owner left offers in the store", () => {
    it("keeps them closed until the withdrawal is confirmed", () => {
      const offers = new HostOffers();
      offers.withdrawInherited(["a"]);
      assert.equal(offers.isClosed("a", 1_000), true);
      offers.confirmStored(1_000);
      assert.equal(offers.isClosed("a", 1_600), false);
    });
  });
});
