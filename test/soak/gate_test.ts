/** Tests the gate in front of the soak's endpoints, on real sockets. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Gate } from "../../soak/gate.ts";
import { JsonServer } from "../../soak/json_server.ts";
import { pause } from "../../soak/pause.ts";

/** Time in which a loopback call is carried out, in ms. */
const settleMs = 150;

describe("the gate of an endpoint", () => {
  let gate: Gate;
  let address: string;
  /** What was called at each life, in turn. */
  let calls: string[];
  const lives: JsonServer[] = [];

  /** Starts a life behind the gate. */
  const openLife = async (name: string) => {
    const life = new JsonServer(({ path }) => {
      calls.push(`${name} ${path}`);
      return Promise.resolve({ status: 200, body: { name } });
    });
    lives.push(life);
    gate.open(await life.listen());
  };

  /** Calls through the gate; resolves to the name of the life, or undefined. */
  const call = async (path: string, signal?: AbortSignal) => {
    const options = { ...(signal !== undefined && { signal }) };
    const res = await fetch(`http://${address}${path}`, options)
      .catch(() => undefined);
    const body = await res?.json() as { name: string } | undefined;
    return body?.name;
  };

  beforeEach(async () => {
    calls = [];
    gate = new Gate();
    address = await gate.listen();
    await openLife("first");
  });

  afterEach(() => {
    gate.close();
    for (const life of lives.splice(0)) life.close();
  });

  it("passes calls on while it is open", async () => {
    assert.equal(await call("/a"), "first");
  });

  it("delivers to the next life what was sent in the dark", async () => {
    await call("/a");
    gate.darken();
    lives.pop()?.close();
    const answer = call("/b");
    await pause(settleMs);
    assert.deepEqual(calls, ["first /a"]);
    await openLife("next");
    assert.equal(await answer, "next");
    assert.deepEqual(calls, ["first /a", "next /b"]);
  });

  it("delivers orders, but no answers, if the cut begins with the return", async () => {
    gate.darken();
    const answer = call("/b");
    await pause(settleMs);
    await openLife("next");
    gate.cut();
    const early = await Promise.race([answer, pause(settleMs)]);
    assert.equal(early, undefined);
    assert.deepEqual(calls, ["next /b"]);
    gate.heal();
    assert.equal(await answer, "next");
  });

  it("holds calls back in a cut, on new connections too", async () => {
    gate.cut();
    const answer = call("/c");
    await pause(settleMs);
    assert.deepEqual(calls, []);
    gate.heal();
    assert.equal(await answer, "first");
  });
});
