import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import {
  applyDelta,
  diffTables,
  fromCsv,
  Table,
  toCsv,
  type VersionedRow,
} from "../../src/table/index.ts";

function exampleTable(name: string, version = 3): Table {
  const text = readFileSync(`examples/${name}.csv`, "utf8");
  const edit = fromCsv(Table.empty, text).unwrap();
  const rows = edit.changes.map((c): VersionedRow => {
    assert.ok(c.row);
    return { version, row: c.row };
  });
  return Table.of(version, rows);
}

describe("table as CSV", () => {
  for (const name of ["hinokuni", "ironshore"]) {
    describe(`of ${name}`, () => {
      it("survives an export and an import without a change", () => {
        const table = exampleTable(name);
        const edit = fromCsv(table, toCsv(table)).unwrap();
        assert.deepEqual(edit.changes, []);
      });
    });
  }

  describe("with faults", () => {
    it("names every fault of every row at once", () => {
      const table = exampleTable("hinokuni");
      const text = toCsv(table)
        .replace("class,fitter-signoff", "class,Fitter Signoff")
        .replace("urgent,repeatable,2", "soon,repeatable,-2");
      const failure = fromCsv(table, text);
      assert.ok(failure.err);
      const keys = failure.val.issues?.map((i) => i.key);
      assert.deepEqual(keys, [
        "class/fault-ticket.urgency",
        "class/fault-ticket.weight",
        "class/Fitter Signoff.name",
      ]);
    });

    it("refuses a row that appears twice", () => {
      const table = exampleTable("hinokuni");
      const line = "pool,fitters,3,,,,,,,,,,,6,false\n";
      const failure = fromCsv(table, toCsv(table) + line);
      assert.ok(failure.err);
      assert.equal(failure.val.issues?.[0].allowed, "each row once");
    });
  });

  describe("with a missing row", () => {
    it("deletes the row at its version", () => {
      const table = exampleTable("hinokuni");
      const text = toCsv(table).split("\n")
        .filter((l) => !l.includes("rent-statement")).join("\n");
      const edit = fromCsv(table, text).unwrap();
      assert.deepEqual(edit.changes, [
        { key: "class/rent-statement", base: 3, row: null },
      ]);
    });
  });
});

describe("table delta", () => {
  const base = exampleTable("hinokuni", 3);
  const next = new Table(4, new Map([...base.rows].slice(1)));

  it("turns the base into the next table", () => {
    const outcome = applyDelta(base, diffTables(base, next));
    assert.equal(outcome.kind, "applied");
  });

  it("is stale on a table that is as new", () => {
    assert.equal(applyDelta(next, diffTables(base, next)).kind, "stale");
  });

  it("reports a gap on another base", () => {
    const other = new Table(2, base.rows);
    assert.equal(applyDelta(other, diffTables(base, next)).kind, "gap");
  });

  it("reports a gap when the digest differs", () => {
    const delta = { ...diffTables(base, next), digest: "wrong" };
    assert.equal(applyDelta(base, delta).kind, "gap");
  });
});
