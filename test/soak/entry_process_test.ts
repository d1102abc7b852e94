/** Tests how the soak fills the settings template of the deploy file. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { renderTemplate } from "../../soak/entry_process.ts";

describe("a settings template", () => {
  const fields = { node: "front-1", limits: { cores: 1 }, hint: "" };

  it("gets values, as text or as JSON", () => {
    const text = renderTemplate("a {{node}} {{node|json}}", fields);
    assert.equal(text, 'a front-1 "front-1"');
  });

  it("has sections for values that are there", () => {
    const template = "{{#limits.cores}}c={{limits.cores}}{{/limits.cores}}" +
      "{{#limits.share}}s={{limits.share}}{{/limits.share}}";
    assert.equal(renderTemplate(template, fields), "c=1");
  });

  it("gets nothing for values that are missing", () => {
    assert.equal(renderTemplate("[{{zones.a}}]", fields), "[]");
  });
});
