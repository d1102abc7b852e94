/** What the client of the platform's services reports when its thread is blocked. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { isMainThread } from "node:worker_threads";
import { codes } from "../../src/errors/index.ts";
import { HttpPlatform } from "../../src/platform/index.ts";
import { StandIns } from "./stand_in.ts";
import { serveStandIns } from "./stand_in_server.ts";

/** Timeout of a call, in ms. */
const callTimeoutMs = 500;

/** Time for which the thread is blocked, in ms; longer than the timeout. */
const blockMs = 800;

/** Keeps the thread busy, in ms. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

function describePauses() {
  let standIns: StandIns;
  before(() => {
    standIns = new StandIns();
  });
  after(() => standIns.close());

  // Guards against commits that the platform has refused and that count as possibly
  // applied: the timeout expired while the answer waited to be read.
  for (const delayMs of [0, 10, 40]) {
    it(`reads the answer to a commit, blocked after ${delayMs} ms`, async () => {
      const refusal = { kind: "answer", status: 429, body: "{}" } as const;
      const port = await standIns.open(refusal);
      const platform = new HttpPlatform({
        url: `http://127.0.0.1:${port}`,
        zone: "zone-1",
        callTimeoutMs,
        commitTimeoutMs: 0,
      });
      const tx = { operation: "op-1", checks: [], writes: [] };
      const committed = platform.table.commit(tx);
      if (delayMs > 0) await pause(delayMs);
      // Expired timers run right after immediates, and before sockets are read.
      await new Promise(setImmediate);
      block(blockMs);
      const outcome = await committed;
      await platform.close();
      assert.equal(outcome.err && outcome.val.code, codes.platformDown);
    });
  }

  it("still fails without an answer", async () => {
    const port = await standIns.open({ kind: "silent" });
    const platform = new HttpPlatform({
      url: `http://127.0.0.1:${port}`,
      zone: "zone-1",
      callTimeoutMs,
      commitTimeoutMs: 0,
    });
    const tx = { operation: "op-1", checks: [], writes: [] };
    const outcome = await platform.table.commit(tx);
    await platform.close();
    assert.equal(outcome.err && outcome.val.code, codes.commitUnknown);
  });
}

if (isMainThread) {
  describe(
    "the platform's client, blocked for longer than its timeout",
    describePauses,
  );
} else serveStandIns();
