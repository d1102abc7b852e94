/**
 * Fake platform that keeps its tables, objects and hosts in memory and
 * simulates faults.
 *
 * The version of a row is the number of the commit that wrote it, so a row that
 * is deleted and created again never repeats a version.
 */
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../src/errors/index.ts";
import type {
  ObjectStore,
  Platform,
  PlatformCommitOutcome,
  PlatformListedHost,
  PlatformRow,
  PlatformTransaction,
  ReadQuery,
  TableService,
} from "../src/platform/index.ts";

/** Simulated faults of the platform. */
export interface PlatformFaults {
  /** Every call fails without effect. */
  down: boolean;
  /** Delay of every call in ms. */
  slowMs: number;
  /** Number of next commits that are applied but whose answer is lost. */
  loseAnswers: number;
  /** Zones whose calls fail. */
  cutZones: string[];
}

/** Returns the value of `PlatformFaults` that simulates no fault. */
export function noFaults(): PlatformFaults {
  return { down: false, slowMs: 0, loseAnswers: 0, cutZones: [] };
}

/** Number of commit outcomes that are kept for repeated operations. */
const maxStoredOutcomes = 100_000;

/** State of the platform's services, without a transport. */
export class MemoryPlatform implements Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  faults = noFaults();
  rows = new Map<string, PlatformRow>();
  hosts = new Map<string, PlatformListedHost>();
  /** Hosts in the order of their accepted reboots. */
  readonly rebootedHosts: string[] = [];
  /** Called once for each accepted reboot. */
  onReboot: (host: string) => void = () => {};
  #blobs = new Map<string, Uint8Array>();
  #outcomes = new Map<string, PlatformCommitOutcome>();
  #rebootOperations = new Set<string>();
  #commitCount = 0;

  constructor() {
    this.table = {
      read: (query) => Promise.resolve(this.read(query)),
      commit: (tx) => Promise.resolve(this.commit(tx)),
    };
    this.objects = {
      put: (name, bytes) => {
        if (this.faults.down) return Promise.resolve(failDown());
        this.#blobs.set(name, bytes);
        return Promise.resolve(Ok(undefined));
      },
      get: (name) => {
        if (this.faults.down) return Promise.resolve(failDown());
        const bytes = this.#blobs.get(name);
        return Promise.resolve(
          bytes === undefined ? fail(codes.notFound, name) : Ok(bytes),
        );
      },
    };
  }

  /** Reads rows from one snapshot. */
  read(query: ReadQuery): Result<readonly PlatformRow[], Failure> {
    if (this.faults.down) return failDown();
    const found: PlatformRow[] = [];
    for (const key of query.keys ?? []) {
      const row = this.rows.get(key);
      if (row !== undefined) found.push(row);
    }
    for (const prefix of query.prefixes ?? []) {
      for (const row of this.rows.values()) {
        if (row.key.startsWith(prefix)) found.push(row);
      }
    }
    return Ok(found);
  }

  /** Commits one transaction and simulates the faults. */
  commit(tx: PlatformTransaction): Result<PlatformCommitOutcome, Failure> {
    if (this.faults.down) return failDown();
    const outcome = this.apply(tx);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--;
      return fail(codes.commitUnknown, "the answer was lost");
    }
    return Ok(outcome);
  }

  /**
   * Commits one transaction without faults. If its operation was committed
   * before, returns that outcome.
   */
  apply(tx: PlatformTransaction): PlatformCommitOutcome {
    const known = this.#outcomes.get(tx.operation);
    if (known !== undefined) return known;
    const outcome = this.#checkAndWrite(tx);
    if (outcome.kind === "committed") this.#storeOutcome(tx.operation, outcome);
    return outcome;
  }

  listHosts(): Promise<Result<readonly PlatformListedHost[], Failure>> {
    if (this.faults.down) return Promise.resolve(failDown());
    return Promise.resolve(Ok([...this.hosts.values()]));
  }

  reboot(host: string, operation: string): Promise<Result<void, Failure>> {
    if (this.faults.down) return Promise.resolve(failDown());
    if (!this.#rebootOperations.has(operation)) {
      this.#rebootOperations.add(operation);
      this.rebootedHosts.push(host);
      this.onReboot(host);
    }
    return Promise.resolve(Ok(undefined));
  }

  /** Checks the row versions and writes the rows. */
  #checkAndWrite(tx: PlatformTransaction): PlatformCommitOutcome {
    const conflicting = tx.checks.filter((check) =>
      (this.rows.get(check.key)?.version ?? 0) !== check.version
    );
    if (conflicting.length > 0) {
      const rows = conflicting.map((check) =>
        this.rows.get(check.key) ?? { key: check.key, version: 0, value: null }
      );
      return { kind: "conflict", rows: [...rows] };
    }
    this.#commitCount++;
    const version = this.#commitCount;
    for (const { key, value } of tx.writes) {
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, { key, version, value: structuredClone(value) });
    }
    return { kind: "committed", version };
  }

  /** Stores an outcome and drops the oldest above the limit. */
  #storeOutcome(operation: string, outcome: PlatformCommitOutcome): void {
    this.#outcomes.set(operation, outcome);
    if (this.#outcomes.size <= maxStoredOutcomes) return;
    for (const oldest of this.#outcomes.keys()) {
      this.#outcomes.delete(oldest);
      return;
    }
  }
}

function failDown() {
  return fail(codes.platformDown, "the platform is down");
}
