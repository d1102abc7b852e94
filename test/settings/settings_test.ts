/** Validation of entry settings and of the example files. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { parseSettings } from "../../src/settings/index.ts";

const example = readFileSync("examples/hinokuni.toml", "utf8");

describe("settings", () => {
  for (const name of ["hinokuni", "ironshore"]) {
    describe(`of ${name}`, () => {
      it("are valid", () => {
        const text = readFileSync(`examples/${name}.toml`, "utf8");
        assert.ok(parseSettings(text).ok);
      });
    });
  }

  describe("with invalid values", () => {
    it("report every invalid value and hide tokens", () => {
      const text = example
        .replace('zone = "fukuoka"', 'zone = "Fukuoka!"')
        .replace("body_bytes = 1048576", "body_bytes = 0")
        .replace('"replace-this-peer-token"', '"short-secret"')
        .replace("[moves]", "[mvoes]\nenabled = true\n[moves]");
      const failure = parseSettings(text);
      assert.ok(failure.err);
      const issues = failure.val.issues ?? [];
      assert.deepEqual(issues.map((i) => i.key).sort(), [
        "entry.zone",
        "limits.body_bytes",
        "mvoes",
        "peer.token",
      ]);
      assert.ok(!JSON.stringify(issues).includes("short-secret"));
    });
  });
});
