/** How the store's client reads the status of an answer. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { StoreClient } from "../../platform/store_client.ts";
import { startStatusServer, type StatusServer } from "./status_server.ts";

const emptyTransaction = { checks: [], puts: [], removes: [] };

/** Statuses that do not confirm that a transaction was not applied. */
const unconfirmedStatuses = [404, 408, 410, 500, 502, 504, 507];

/**
 * Statuses that say so of a transaction that there is no use in repeating. They
 * don't confirm either that it was not applied.
 */
const invalidStatuses = [400, 403, 413];

describe("the store client", () => {
  let server: StatusServer;
  let store: StoreClient;

  before(async () => {
    server = await startStatusServer();
    store = new StoreClient(server.address);
  });
  after(async () => {
    await store.close();
    server.close();
  });

  describe("on a commit", () => {
    for (const status of [429, 503]) {
      it(`takes status ${status} as not applied`, async () => {
        server.status = status;
        const outcome = await store.commit(emptyTransaction);
        assert.equal(outcome.err && outcome.val.kind, "refused");
      });
    }

    // Guards against telling a caller "not run" about a job that was stored.
    for (const status of unconfirmedStatuses) {
      it(`takes status ${status} as possibly applied`, async () => {
        server.status = status;
        const outcome = await store.commit(emptyTransaction);
        assert.equal(outcome.err && outcome.val.kind, "unknown");
      });
    }
  });

  // Guards against LOST: a transaction that is never accepted was repeated for
  // ever.
  describe("on a commit that is never accepted", () => {
    for (const status of invalidStatuses) {
      it(`tells status ${status} from other failures`, async () => {
        server.status = status;
        const outcome = await store.commit(emptyTransaction);
        assert.equal(outcome.err && outcome.val.kind, "invalid");
      });
    }
  });

  describe("on a feed", () => {
    it("takes status 410 as the end of the history", async () => {
      server.status = 410;
      const outcome = await store.feed("inbox", 1, 0);
      assert.equal(outcome.err && outcome.val.kind, "expired");
    });
  });
});
