/** The audit trail of changes. */
export {
  type AuditRecord,
  auditRecordSchema,
  auditWrite,
  readAudit,
} from "./audit.ts";
