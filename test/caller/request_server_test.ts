/** Replies of the request server to valid, invalid and slow requests. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { Err, Ok } from "ts-results";
import { request } from "undici";
import { type EndedRequest, RequestServer } from "../../src/caller/index.ts";
import { IdSource, systemClock } from "../../src/clock/index.ts";
import { codes } from "../../src/errors/index.ts";
import type { JobService, JobStore } from "../../src/jobs/index.ts";
import { Admission, Executor, type Router } from "../../src/pipeline/index.ts";
import { Table } from "../../src/table/index.ts";

const address = "127.0.0.1";
const port = 17_431;
const baseUrl = `http://${address}:${port}`;

const table = Table.of(1, [
  { version: 1, row: { kind: "pool", name: "p", budget: 0, spare: false } },
  {
    version: 1,
    row: {
      kind: "class",
      name: "quick",
      pool: "p",
      urgency: "urgent",
      repeat: "repeatable",
      weight: 1,
      price: 0,
      rate: 0,
      concurrency: 0,
      queue: 10,
      deadlineMs: 200,
      runMs: 1_000,
    },
  },
]);

/**
 * Grants a slot to class `quick` at once, with an endpoint that answers with
 * the size of the request body; refuses any other class.
 */
const router = {
  acquire: (slotRequest: { class: { name: string } }) =>
    Promise.resolve(
      slotRequest.class.name === "quick"
        ? Ok({
          host: "h1",
          releaseUnused: () => {},
          send: (req: { body: Uint8Array }) =>
            Promise.resolve({
              kind: "answer" as const,
              status: 200,
              headers: {},
              body: new TextEncoder().encode(String(req.body.length)),
            }),
        })
        : new Err({ code: codes.noHost, message: "none" }),
    ),
} as unknown as Pick<Router, "acquire">;

describe("the request server", () => {
  const ids = new IdSource("test");
  const requestEnds: EndedRequest[] = [];
  const server = new RequestServer({
    limits: {
      maxHeaderBytes: 2_048,
      maxBodyBytes: 1_000,
      requestTimeoutMs: 300,
      maxConnections: 50,
    },
    admission: new Admission(systemClock),
    executor: new Executor(router, ids, systemClock),
    jobs: {} as JobService,
    jobStore: {} as JobStore,
    ids,
    clock: systemClock,
    table: () => table,
    liveEntryCount: () => 1,
    notReadyReason: () => undefined,
    onRequestEnded: (end) => requestEnds.push(end),
  });

  before(() => server.listen(address, port));
  after(() => server.close(0));

  /** Sends a request and returns the result code of the reply. */
  const resultCodeOf = async (
    path: string,
    options: {
      method?: "POST" | "OPTIONS";
      body?: string;
      headers?: Record<string, string>;
    } = {},
  ) => {
    const res = await request(baseUrl + path, { method: "POST", ...options });
    await res.body.dump();
    return Number(res.headers["briartide-code"]);
  };

  /** Sends raw bytes and returns all bytes received until the socket closes. */
  const sendRaw = (text: string): Promise<string> =>
    new Promise((resolve) => {
      const socket = connect(port, address, () => socket.write(text));
      let reply = "";
      socket.on("data", (chunk) => reply += chunk);
      socket.on("close", () => resolve(reply));
    });

  describe("with a valid request", () => {
    it("replies with the answer and reports one ended request", async () => {
      requestEnds.length = 0;
      assert.equal(await resultCodeOf("/run/quick/x", { body: "12345" }), 1000);
      assert.deepEqual(requestEnds.map((e) => e.code.code), [1000]);
    });
  });

  describe("with an invalid request", () => {
    it("refuses an unknown class", async () => {
      assert.equal(await resultCodeOf("/run/nothing"), 2009);
    });

    it("refuses a method that is not allowed", async () => {
      const method = "OPTIONS";
      assert.equal(await resultCodeOf("/run/quick", { method }), 2012);
    });

    it("refuses a body above the limit", async () => {
      const body = "x".repeat(1_001);
      assert.equal(await resultCodeOf("/run/quick", { body }), 2010);
    });

    it("refuses a deadline that is not a number", async () => {
      const headers = { "briartide-deadline-ms": "soon" };
      assert.equal(await resultCodeOf("/run/quick", { headers }), 2011);
    });

    it("refuses headers above the limit", async () => {
      const longValue = "x".repeat(3_000);
      const reply = await sendRaw(
        `GET / HTTP/1.1\r\nhost: a\r\nx: ${longValue}\r\n\r\n`,
      );
      assert.match(reply, /briartide-code: 2017/);
    });

    it("refuses bytes that are not an HTTP request", async () => {
      assert.match(await sendRaw("hello\r\n\r\n"), /briartide-code: 2011/);
    });

    it("refuses a request that is not received in time", async () => {
      const reply = await sendRaw("GET /run/quick HTTP/1.1\r\nhost: a\r\n");
      assert.match(reply, /briartide-code: 2015/);
    });
  });
});
