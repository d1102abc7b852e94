/**
 * The platform's services as the entries use them: a transactional table, an
 * object store, a lagging list of hosts, and task control.
 */
import type { Result } from "ts-results";
import * as v from "valibot";
import type { Failure } from "../errors/index.ts";

/** A row of the table service. Versions grow with every write; 0 is absent. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** A row version that a transaction depends on. */
export interface Check {
  readonly key: string;
  readonly version: number;
}

/** A new value of a row; `null` deletes it. */
export interface Write {
  readonly key: string;
  readonly value: unknown;
}

/**
 * A compare-and-set transaction. Sending it again with the same operation id
 * has no further effect and yields the first outcome.
 */
export interface Transaction {
  readonly operation: string;
  readonly checks: readonly Check[];
  readonly writes: readonly Write[];
}

export const rowSchema = v.object({
  key: v.string(),
  version: v.number(),
  value: v.unknown(),
});

export const commitOutcomeSchema = v.variant("kind", [
  v.object({ kind: v.literal("committed"), version: v.number() }),
  v.object({ kind: v.literal("conflict"), rows: v.array(rowSchema) }),
  v.object({ kind: v.literal("refused"), message: v.string() }),
]);

/** Result of a transaction: the commit's version, or the rows that differ. */
export type CommitOutcome = v.InferOutput<typeof commitOutcomeSchema>;

/** Rows to read in one consistent snapshot. */
export interface ReadQuery {
  readonly keys?: readonly string[];
  readonly prefixes?: readonly string[];
}

export const listedHostSchema = v.object({
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

/** A host in the platform's list. */
export type ListedHost = v.InferOutput<typeof listedHostSchema>;

/** Transactional rows. */
export interface TableService {
  /** Fails with `platformDown`. */
  read(query: ReadQuery): Promise<Result<readonly Row[], Failure>>;
  /** Fails with `platformDown` (no effect) or `commitUnknown`. */
  commit(tx: Transaction): Promise<Result<CommitOutcome, Failure>>;
}

/** Named byte strings. */
export interface ObjectStore {
  put(name: string, bytes: Uint8Array): Promise<Result<void, Failure>>;
  get(name: string): Promise<Result<Uint8Array, Failure>>;
}

/** The platform as a whole. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  /** The list lags behind the hosts by up to the platform's stated lag. */
  listHosts(): Promise<Result<readonly ListedHost[], Failure>>;
  /** Asks for a reboot; repeated calls with one operation id reboot once. */
  reboot(host: string, operation: string): Promise<Result<void, Failure>>;
}
