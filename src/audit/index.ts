/** The audit trail of committed changes. */
export {
  type AuditRecord,
  auditRecordSchema,
  auditWrite,
  readAudit,
} from "./audit.ts";
