/** Result codes: unique numbers, and their documentation. */
import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { describe, it } from "node:test";
import process from "node:process";
import { codes } from "../../src/errors/index.ts";

const file = "docs/RESULT_CODES.md";

/** The text that the documentation page must have. */
function page(): string {
  const rows = Object.values(codes).map((c) =>
    `| ${c.code} | ${c.name} | ${c.http} | ${c.run} | ${c.meaning} |`
  );
  return `# Result codes

Every reply carries \`briartide-code\`, \`briartide-run\` and
\`briartide-request-id\`; refusals carry the same in a JSON body. \`run\` says
what is known: \`done\`, \`not-run\` (proved), \`unknown\`, or \`none\` (not about
a run). This page is checked against the source by the unit tests.

| code | name | HTTP | run | meaning |
| --- | --- | --- | --- | --- |
${rows.join("\n")}
`;
}

describe("result codes", () => {
  describe("by number", () => {
    it("are unique", () => {
      const numbers = Object.values(codes).map((c) => c.code);
      assert.equal(new Set(numbers).size, numbers.length);
    });
  });

  describe("in the documentation", () => {
    it("match the source", () => {
      if (process.env.UPDATE_DOCS === "1") writeFileSync(file, page());
      assert.equal(readFileSync(file, "utf8"), page());
    });
  });
});
