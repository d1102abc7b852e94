/** What a health check reports when the thread of its client is blocked. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { isMainThread } from "node:worker_threads";
import { HttpEndpointClient } from "../../src/endpoint/index.ts";
import type { Host } from "../../src/hosts/index.ts";
import { StandIns } from "../platform/stand_in.ts";
import { serveStandIns } from "../platform/stand_in_server.ts";

/** Time for which the thread is blocked, in ms; longer than a check's timeout. */
const blockMs = 1_300;

/** Keeps the thread busy, in ms. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

function describePauses() {
  let standIns: StandIns;
  let client: HttpEndpointClient;
  before(() => {
    standIns = new StandIns();
    client = new HttpEndpointClient();
  });
  after(async () => {
    await client.close();
    await standIns.close();
  });

  // Guards against hosts that count as silent because the entry was.
  it("reads the answer that came meanwhile", async () => {
    const health = { ok: true, boot: "b", running: 0 };
    const body = JSON.stringify(health);
    const port = await standIns.open({ kind: "answer", status: 200, body });
    const host = { name: "h", address: `http://127.0.0.1:${port}` } as Host;
    const checked = client.health(host);
    await pause(10);
    // Expired timers run right after immediates, and before sockets are read.
    await new Promise(setImmediate);
    block(blockMs);
    const result = await checked;
    assert.deepEqual(result.ok && result.val, health);
  });
}

if (isMainThread) {
  describe("a health check by a client that is blocked", describePauses);
} else serveStandIns();
