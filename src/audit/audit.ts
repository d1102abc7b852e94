/**
 * The audit trail: one record per table edit, host change, wave step, removed
 * entry, and change of a job by a caller or an operator. If the change is a
 * single transaction, the record is part of it.
 */
import * as v from "valibot";
import type { Result } from "ts-results";
import type { Failure } from "../errors/index.ts";
import {
  decodeRows,
  type PlatformRowWrite,
  type TableService,
} from "../platform/index.ts";

const auditPrefix = "audit/";
/** Digits of the time in a key, so that keys sort by time. */
const timeDigits = 15;

/** Schema of an audit record. */
export const auditRecordSchema = v.object({
  /** Wall-clock time in ms since the Unix epoch. */
  at: v.number(),
  /** Operator or process that made the change; `caller` for a caller. */
  who: v.string(),
  /** Kind of the change, for example `table.edit` or `host.return`. */
  action: v.string(),
  /** What was changed, for example `host fitters-1`. */
  subject: v.string(),
  /** Value before the change. */
  before: v.unknown(),
  /** Value after the change. */
  after: v.unknown(),
  /** Operation id of the change. */
  operation: v.string(),
});

/** A record of a committed change. */
export type AuditRecord = v.InferOutput<typeof auditRecordSchema>;

/** Returns the write that adds an audit record to a transaction. */
export function auditWrite(record: AuditRecord): PlatformRowWrite {
  const time = String(record.at).padStart(timeDigits, "0");
  return { key: `${auditPrefix}${time}/${record.operation}`, value: record };
}

/**
 * Reads the latest `limit` records, oldest first. Fails as the table service
 * does.
 */
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
