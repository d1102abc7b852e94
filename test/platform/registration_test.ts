/** Tests what a registration says that another writer has mangled. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { decodeRegistration } from "../../platform/decode.ts";
import { JsonClient } from "../../platform/json_client.ts";

const born = 1_764_900_000_123;

const row = {
  backend: "p",
  addr: "10.0.0.1:7001",
  zone: "z",
  version: "v1",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  seq: 3,
  born,
  capacity: { cpu: 4_000, memMb: 8_192, gpu: 1 },
  labels: ["k", "r1-3"],
  machine: "m-1",
};

/** Values that are no count: of another type, negative or not a number. */
const noCount = fc.oneof(
  fc.string(),
  fc.constantFrom(null, true, false, [], {}, `${born}`, [born]),
  fc.double({ max: -Number.MIN_VALUE, noNaN: true }),
);

/** Values that are no start time. */
const noBirth = fc.oneof(noCount, fc.constantFrom(0, -0, born + 0.5, 1e300));

/** Values that are no IP address with a port. */
const noAddresses = [
  ...["", "10.0.0.1", "10.0.0.1:", ":7001", "10.0.0.1:0", "10.0.0.1:70000"],
  ...["10.0.0.1:port", "a b:7001", "http://10.0.0.1:7001", 7_001, null, {}],
  ...["10.1.2.300:8080", "10.0.0.1.9:80", "1e9:80", "a%zz:80", "[::1:80"],
  ...["a<b>:7001", "a^b:7001", "[fe80::1%1]:80", "a?b:80", "a#b:80"],
  ...[
    "endpoint-1:80",
    "1:80",
    "0x7f.1:80",
    "127.1:80",
    "::1:80",
    "[1.2.3.4]:8",
  ],
];
const noAddress = fc.constantFrom(...noAddresses);

/** Amounts that no endpoint has. */
const tooMuch = fc.constantFrom(1e10, 1e300, Number.MAX_VALUE);

/** Ids that no order can name or no row can hold. */
const noId = fc.constantFrom(
  ...["", "a b", "a\r\nb", "\u0000", "i-\u00e9", 'i-"', "i-\\"],
  "i".repeat(201),
);

/** Any value as it may stand in a row, with fields of a registration. */
const anyRow = fc.oneof(
  fc.string(),
  fc.json({ maxDepth: 4 }),
  fc.nat(20_000).map((depth) => "[".repeat(depth) + "]".repeat(depth)),
  fc.nat(20_000).map((depth) =>
    `{"labels":${"[".repeat(depth)}${"]".repeat(depth)}}`
  ),
  fc.record({
    addr: fc.oneof(
      fc.string(),
      fc.webAuthority(),
      fc.tuple(fc.array(fc.integer(), { maxLength: 5 }), fc.integer())
        .map(([numbers, port]) => `${numbers.join(".")}:${port}`),
    ),
    capacity: fc.record({
      cpu: fc.oneof(fc.double(), fc.nat()),
      memMb: fc.oneof(fc.double(), fc.nat()),
    }),
    labels: fc.array(fc.string()),
    machine: fc.string(),
  }).map((changes) => JSON.stringify({ ...row, ...changes })),
);

const noText = fc.constantFrom("", 5, null, true, [], {});

/** A row with one field missing or invalid. */
const mangledRow = fc.oneof(
  fc.constantFrom("backend", "addr", "state", "born", "capacity")
    .map((field) => ({ ...row, [field]: undefined })),
  noBirth.map((value) => ({ ...row, born: value })),
  noAddress.map((addr) => ({ ...row, addr })),
  noText.map((backend) => ({ ...row, backend })),
  fc.constantFrom("", "READY", "gone", 1, null).map((state) => ({
    ...row,
    state,
  })),
  fc.tuple(
    fc.constantFrom("cpu", "memMb", "gpu"),
    fc.oneof(noCount, tooMuch),
  )
    .map(([field, value]) => ({
      ...row,
      capacity: { ...row.capacity, [field]: value },
    })),
  noCount.map((capacity) => ({ ...row, capacity })),
).map((value) => JSON.stringify(value));

/** The beginning of a row, as of a write that was cut short. */
const cutRow = fc.nat({ max: JSON.stringify(row).length - 1 })
  .map((length) => JSON.stringify(row).slice(0, length));

describe("a registration", () => {
  it("is decoded if it is valid", () => {
    const decoded = decodeRegistration("i-1", JSON.stringify(row));
    assert.equal(decoded?.life, born);
    assert.equal(decoded?.address, "10.0.0.1:7001");
    assert.equal(decoded?.capacity.gpus, 1);
  });

  describe("that another writer has mangled", () => {
    // Guards against TWICE: a row without a valid start time was decoded as
    // incarnation 0, which ended the session of the living endpoint and started
    // its tasks elsewhere.
    it("names no endpoint, and so no incarnation that it did not have", () => {
      fc.assert(
        fc.property(fc.oneof(mangledRow, cutRow), (value) => {
          assert.equal(decodeRegistration("i-1", value), undefined);
        }),
        { seed: 1_795_061_059, numRuns: 1_000 },
      );
    });

    // Guards against a look-up of a host's name, and against a test that fails
    // only if its seed draws one of these addresses.
    for (const addr of noAddresses) {
      it(`names no endpoint at ${JSON.stringify(addr)}`, () => {
        const value = JSON.stringify({ ...row, addr });
        assert.equal(decodeRegistration("i-1", value), undefined);
      });
    }

    // Guards against an endpoint to which no order can be tied, and against LOST
    // by a row that its id makes too large.
    it("names no endpoint if its id can't be", () => {
      fc.assert(
        fc.property(noId, (id) => {
          assert.equal(decodeRegistration(id, JSON.stringify(row)), undefined);
        }),
        { seed: 1 },
      );
    });

    // Guards against processes that end by themselves: the address of a row
    // passed the check, and the client that was opened for it threw an error.
    it("names no endpoint for which no client can be opened", () => {
      fc.assert(
        fc.property(anyRow, (value) => {
          const endpoint = decodeRegistration("i-1", value);
          if (endpoint === undefined) return;
          new JsonClient(endpoint.address, 1).close();
          const { cpuMillis, memoryMb, gpus } = endpoint.capacity;
          assert.ok(
            Number.isSafeInteger(Math.ceil(cpuMillis + memoryMb + gpus)),
          );
        }),
        { seed: 1, numRuns: 2_000 },
      );
    });
  });
});
