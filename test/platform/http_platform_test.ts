/** How the client of the platform's services reads the status of an answer. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { codes } from "../../src/errors/index.ts";
import { HttpPlatform } from "../../src/platform/index.ts";
import { startStatusServer, type StatusServer } from "./status_server.ts";

describe("the platform client", () => {
  let server: StatusServer;
  let platform: HttpPlatform;

  before(async () => {
    server = await startStatusServer();
    platform = new HttpPlatform({
      url: `http://${server.address}`,
      zone: "zone-1",
      callTimeoutMs: 1_000,
      commitTimeoutMs: 0,
    });
  });
  after(async () => {
    await platform.close();
    server.close();
  });

  /** Commits an empty transaction; returns the code of its failure. */
  async function commitCode(): Promise<number | undefined> {
    const outcome = await platform.table.commit({
      operation: "op-1",
      checks: [],
      writes: [],
    });
    return outcome.err ? outcome.val.code.code : undefined;
  }

  describe("on a commit", () => {
    for (const status of [429, 503]) {
      it(`takes status ${status} as not applied`, async () => {
        server.status = status;
        assert.equal(await commitCode(), codes.platformDown.code);
      });
    }

    // Guards against reporting a job as not accepted that was stored.
    for (const status of [500, 502, 504, 507]) {
      it(`takes status ${status} as possibly applied`, async () => {
        server.status = status;
        assert.equal(await commitCode(), codes.commitUnknown.code);
      });
    }
  });

  // Guards against a stored reference to an object that was never written.
  describe("on an object", () => {
    for (const status of [400, 403, 404, 413]) {
      it(`reports status ${status} of a put as a failure`, async () => {
        server.status = status;
        const outcome = await platform.objects.put("a", new Uint8Array([1]));
        assert.equal(outcome.ok, false);
      });
    }

    it("reports status 403 of a get as a failure", async () => {
      server.status = 403;
      const outcome = await platform.objects.get("a");
      assert.equal(outcome.ok, false);
    });
  });
});
