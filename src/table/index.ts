/** The operator's table of pools and classes: rows, edits, deltas and CSV. */
export {
  type ClassRow,
  type PoolRow,
  type RowKey,
  rowKey,
  type TableRow,
  tableRowSchema,
} from "./row.ts";
export {
  Table,
  validateRows,
  type VersionedRow,
  versionedRowSchema,
} from "./table.ts";
export {
  checkEdit,
  type Edit,
  editSchema,
  findMismatchedKeys,
  type RowChange,
} from "./edit.ts";
export {
  applyDelta,
  type DeltaOutcome,
  diffTables,
  type TableDelta,
  tableDeltaSchema,
} from "./delta.ts";
export { csvColumns, fromCsv, parseRowFields, toCsv } from "./csv.ts";
export {
  type ChangeContext,
  commitEdit,
  readTable,
  readTableVersion,
} from "./table_store.ts";
