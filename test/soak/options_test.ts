/** Tests the options of the soak of batch entries. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseOptions } from "../../soak/options.ts";

describe("the options of the batch soak", () => {
  it("are one play of seed 1 by default", () => {
    const options = parseOptions([]).unwrap();
    const expected = {
      seed: 1,
      plays: 1,
      coreShare: 100,
      hasOutages: false,
      keepsLogs: false,
    };
    assert.deepEqual(options, expected);
  });

  it("name the first seed and the number of plays", () => {
    const args = ["--seed", "7", "--plays", "3", "--core-share", "25"];
    const flags = ["--outages", "--keep-logs"];
    const options = parseOptions([...args, ...flags]).unwrap();
    const expected = {
      seed: 7,
      plays: 3,
      coreShare: 25,
      hasOutages: true,
      keepsLogs: true,
    };
    assert.deepEqual(options, expected);
  });

  const refused: readonly (readonly [string, readonly string[]])[] = [
    ["a seed that is no number", ["--seed", "x"]],
    ["a seed that is not whole", ["--seed", "1.5"]],
    ["a seed below 0", ["--seed=-1"]],
    ["a seed that is too large", ["--seed", "99999999999"]],
    ["no plays", ["--plays", "0"]],
    ["an empty number", ["--plays", ""]],
    ["a missing number", ["--seed"]],
    ["a share above 100", ["--core-share", "101"]],
    ["an unknown flag", ["--minutes", "1"]],
    ["a stray word", ["7"]],
  ];

  for (const [what, args] of refused) {
    it(`refuse ${what} with one line`, () => {
      const options = parseOptions(args);
      assert.ok(options.err);
      assert.match(options.val, /^.+$/);
    });
  }
});
