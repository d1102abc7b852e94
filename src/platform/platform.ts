/**
 * Interfaces of the platform's services: a transactional table, an object
 * store, an eventually consistent list of hosts, and host reboots.
 */
import type { Result } from "ts-results";
import * as v from "valibot";
import type { Failure } from "../errors/index.ts";

/** A row of the table service. */
export interface PlatformRow {
  readonly key: string;
  /** Grows with every write; 0 if the row does not exist. */
  readonly version: number;
  readonly value: unknown;
}

/** The version that a row must have for a transaction to commit. */
export interface PlatformRowCheck {
  readonly key: string;
  readonly version: number;
}

/** A new value of a row; `null` deletes it. */
export interface PlatformRowWrite {
  readonly key: string;
  readonly value: unknown;
}

/**
 * A compare-and-set transaction. Sending it again with the same operation id
 * has no further effect and returns the first outcome.
 */
export interface PlatformTransaction {
  /** Idempotency key. */
  readonly operation: string;
  readonly checks: readonly PlatformRowCheck[];
  readonly writes: readonly PlatformRowWrite[];
}

/** Schema of a row. */
export const platformRowSchema = v.object({
  key: v.string(),
  version: v.number(),
  value: v.unknown(),
});

/** Schema of a transaction's outcome. */
export const platformCommitOutcomeSchema = v.variant("kind", [
  v.object({ kind: v.literal("committed"), version: v.number() }),
  v.object({ kind: v.literal("conflict"), rows: v.array(platformRowSchema) }),
  v.object({ kind: v.literal("refused"), message: v.string() }),
]);

/**
 * Outcome of a transaction: the commit's version, the current rows if a check
 * failed, or the reason why the platform refused it as malformed.
 */
export type PlatformCommitOutcome = v.InferOutput<
  typeof platformCommitOutcomeSchema
>;

/** The rows to read in one consistent snapshot, by key and by key prefix. */
export interface ReadQuery {
  readonly keys?: readonly string[];
  readonly prefixes?: readonly string[];
}

/** Schema of a listed host. */
export const platformListedHostSchema = v.object({
  name: v.string(),
  role: v.picklist(["entry", "worker"]),
  state: v.picklist(["live", "leaving", "gone"]),
  zone: v.string(),
  rack: v.string(),
  address: v.string(),
  pool: v.string(),
  slots: v.number(),
  connections: v.number(),
});

/** A host as the platform lists it. */
export type PlatformListedHost = v.InferOutput<typeof platformListedHostSchema>;

/** Transactional table of rows. */
export interface TableService {
  /**
   * Reads rows. Fails with `platformDown`, or with `commitUnknown` or
   * `rowInvalid` if the response was lost or malformed.
   */
  read(query: ReadQuery): Promise<Result<readonly PlatformRow[], Failure>>;
  /**
   * Commits a transaction. Fails with `platformDown` or `commitRefused` if it
   * had no effect, or with `commitUnknown` if it may have been applied.
   */
  commit(
    tx: PlatformTransaction,
  ): Promise<Result<PlatformCommitOutcome, Failure>>;
}

/** Store of named byte strings. */
export interface ObjectStore {
  /** Stores an object under a name. */
  put(name: string, bytes: Uint8Array): Promise<Result<void, Failure>>;
  /** Reads an object. Fails with `notFound` if there is no such object. */
  get(name: string): Promise<Result<Uint8Array, Failure>>;
}

/** All services of the platform. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  /** Lists the hosts; the list may be out of date by the configured lag. */
  listHosts(): Promise<Result<readonly PlatformListedHost[], Failure>>;
  /** Reboots a host; calls with the same operation id reboot it once. */
  reboot(host: string, operation: string): Promise<Result<void, Failure>>;
}
