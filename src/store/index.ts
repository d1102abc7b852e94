/** Interface to the transactional row store and tools for its users. */
export * from "./store.ts";
export { StoreBreaker } from "./breaker.ts";
export { chunks } from "./chunks.ts";
export { parseJson } from "./json_row.ts";
export { partitionOf, partitionsOf } from "./partitions.ts";
export { RangeReader, type ReadPage, type RowPage } from "./range_reader.ts";
export { VersionHistory } from "./version_history.ts";
export {
  mapHandler,
  TableWatch,
  type WatchHandler,
  type WatchOptions,
} from "./table_watch.ts";
