/**
 * The audit trail: one row per table edit, host change, job settlement, and
 * wave step, committed in the same transaction as the change itself.
 */
import * as v from "valibot";
import type { Result } from "ts-results";
import type { Failure } from "../errors/index.ts";
import {
  decodeRows,
  type TableService,
  type Write,
} from "../platform/index.ts";

const auditPrefix = "audit/";
const timeDigits = 15;

export const auditRecordSchema = v.object({
  /** Wall-clock time in ms. */
  at: v.number(),
  /** Operator or process that made the change. */
  who: v.string(),
  action: v.string(),
  subject: v.string(),
  before: v.unknown(),
  after: v.unknown(),
  operation: v.string(),
});

/** One committed change. */
export type AuditRecord = v.InferOutput<typeof auditRecordSchema>;

/** The write that adds a record to a transaction. */
export function auditWrite(record: AuditRecord): Write {
  const time = String(record.at).padStart(timeDigits, "0");
  return { key: `${auditPrefix}${time}/${record.operation}`, value: record };
}

/** Reads the newest records, oldest first. */
export async function readAudit(
  service: TableService,
  limit: number,
): Promise<Result<readonly AuditRecord[], Failure>> {
  const rows = await service.read({ prefixes: [auditPrefix] });
  return rows.map((list) =>
    decodeRows(auditRecordSchema, list, auditPrefix)
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .slice(-limit)
      .map((row) => row.value)
  );
}
