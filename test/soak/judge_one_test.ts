/** Tests what the soak takes for a broken rule ONE. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { judgeOne } from "../../soak/judge_one.ts";
import { newRecord } from "./records.ts";

/** Orders with these fencing tokens about these hosts, 50 ms apart. */
function judge(orders: readonly (readonly [string, number])[]) {
  const record = newRecord();
  for (const [i, [host, fence]] of orders.entries()) {
    record.hostOrders.push({ host, holder: `e-${fence}`, fence, at: 50 * i });
  }
  return judgeOne(record);
}

describe("the judge of ONE", () => {
  it("finds a lower token after a higher one", () => {
    const [finding, ...more] = judge([["h", 1], ["h", 3], ["h", 2]]);
    assert.deepEqual(more, []);
    assert.equal(finding.rule, "ONE");
    assert.equal(finding.at, 100);
    assert.match(finding.text, /e-2 with fence 2, 50 ms after one of e-3/);
  });

  it("compares with the highest token so far", () => {
    assert.equal(judge([["h", 3], ["h", 1], ["h", 2]]).length, 2);
  });

  it("allows equal and rising tokens", () => {
    assert.deepEqual(judge([["h", 1], ["h", 1], ["h", 2]]), []);
  });

  it("judges each host by itself", () => {
    assert.deepEqual(judge([["h", 2], ["g", 1]]), []);
  });
});
