/** Import and export of the table as CSV, and deltas between tables. */
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

/** Reads an example table whose rows all have the table's version. */
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
      it("yields no changes when an exported table is imported", () => {
        const table = exampleTable(name);
        const edit = fromCsv(table, toCsv(table)).unwrap();
        assert.deepEqual(edit.changes, []);
      });
    });
  }

  describe("with invalid rows", () => {
    it("reports all invalid values of all rows", () => {
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

    it("rejects a duplicate row", () => {
      const table = exampleTable("hinokuni");
      const line = "pool,fitters,3,,,,,,,,,,,6,false\n";
      const failure = fromCsv(table, toCsv(table) + line);
      assert.ok(failure.err);
      assert.equal(failure.val.issues?.[0].allowed, "each row once");
    });
  });

  describe("with a missing row", () => {
    it("deletes the row, based on its version", () => {
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

  it("turns its base table into the next version", () => {
    const outcome = applyDelta(base, diffTables(base, next));
    assert.equal(outcome.kind, "applied");
  });

  it("is stale for a table of the same version", () => {
    assert.equal(applyDelta(next, diffTables(base, next)).kind, "stale");
  });

  it("reports a gap for a table of another version", () => {
    const other = new Table(2, base.rows);
    assert.equal(applyDelta(other, diffTables(base, next)).kind, "gap");
  });

  it("reports a gap if the digests differ", () => {
    const delta = { ...diffTables(base, next), digest: "wrong" };
    assert.equal(applyDelta(base, delta).kind, "gap");
  });
});
