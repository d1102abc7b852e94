/** The operator's catalog of queues and pools. */
export { type CatalogFinding, checkCatalog } from "./catalog_check.ts";
export { type CatalogChange, compareCatalogs } from "./catalog_diff.ts";
export { CatalogFreshness } from "./freshness.ts";
export {
  type Catalog,
  CatalogHolder,
  findQueue,
  type Pool,
  type Queue,
  type QueueMatch,
} from "./catalog.ts";
