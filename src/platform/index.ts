/** Interfaces of the platform's services and their HTTP client. */
export {
  type ObjectStore,
  type Platform,
  type PlatformCommitOutcome,
  type PlatformListedHost,
  platformListedHostSchema,
  type PlatformRow,
  type PlatformRowCheck,
  type PlatformRowWrite,
  type PlatformTransaction,
  type ReadQuery,
  type TableService,
} from "./platform.ts";
export {
  HttpPlatform,
  type HttpPlatformOptions,
  type PlatformCallCounts,
} from "./http_platform.ts";
export { type DecodedRow, decodeRow, decodeRows } from "./decode_row.ts";
