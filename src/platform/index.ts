/** Interfaces of the platform's services and their HTTP client. */
export {
  type Check,
  type CommitOutcome,
  type ListedHost,
  listedHostSchema,
  type ObjectStore,
  type Platform,
  type ReadQuery,
  type Row,
  type TableService,
  type Transaction,
  type Write,
} from "./platform.ts";
export {
  HttpPlatform,
  type HttpPlatformOptions,
  type PlatformCallCounts,
} from "./http_platform.ts";
export { decodeRow, decodeRows, type Stored } from "./stored_row.ts";
