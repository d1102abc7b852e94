/** Routes for the status of the entries and the audit records. */
import { Ok } from "ts-results";
import { readAudit } from "../audit/index.ts";
import {
  entryView,
  get,
  type OperatorApiDependencies,
  type Route,
} from "./route.ts";
import { entryVersions } from "./table_confirmations.ts";

/** Number of audit records in a reply if the request sets no limit. */
const defaultAuditRecords = 100;

/** Returns the routes for the status and the audit records. */
export function statusRoutes(deps: OperatorApiDependencies): readonly Route[] {
  return [
    get(/^\/v1\/status$/, () => Promise.resolve(Ok(readStatus(deps)))),
    get(/^\/v1\/audit$/, async ({ query }) => {
      const limit = Number(query.get("limit") ?? defaultAuditRecords);
      const records = await readAudit(deps.platform.table, limit);
      return records.map((list) => ({ records: list }));
    }),
  ];
}

function readStatus(deps: OperatorApiDependencies) {
  return {
    ...deps.status(),
    entry: deps.entry,
    zone: deps.zone,
    tableVersion: deps.fleetState().table.version,
    entries: entryVersions(entryView(deps)),
  };
}
