/** The operator's table of queues and pools as it is in force. */
export {
  type Catalog,
  CatalogHolder,
  findQueue,
  type Pool,
  type Queue,
  type QueueMatch as QueuePath,
} from "./catalog.ts";
