/**
 * Test oracle of the fuzz simulation. It checks only what endpoints ran, what
 * the platform committed, and which results callers received.
 */
import type {
  PlatformRow,
  PlatformTransaction,
} from "../../src/platform/index.ts";
import type { FakeRun } from "./fake_endpoints.ts";

/** The result of one request as its caller received it. */
export interface CallerResult {
  /** Id of the request. */
  readonly id: string;
  readonly code: number;
  /** Whether the request ran, according to its result. */
  readonly run: string;
  readonly answer: string;
}

/** The fields of a host row that the oracle checks. */
interface StoredHost {
  readonly name: string;
  readonly pool: string;
  readonly state: string;
  readonly epoch: number;
}

/** Checks the guarantees and collects violations. */
export class Oracle {
  readonly violations: string[] = [];
  #lastVersions = new Map<string, number>();
  #resultCounts = new Map<string, number>();

  /**
   * Checks a committed transaction: epochs must increase, and a drain must
   * leave the pool its budget. `before` holds the rows before the commit.
   *
   * Hosts in `unavailable` do not count towards the budget, because the
   * decision must have known that they are out of service. Hosts in `exempt`
   * may always be drained, because other causes may have put them out of
   * service.
   */
  checkCommit(
    tx: PlatformTransaction,
    before: ReadonlyMap<string, PlatformRow>,
    budgets: Readonly<Record<string, number>>,
    unavailable: ReadonlySet<string>,
    exempt: ReadonlySet<string>,
  ): void {
    for (const { key, value } of tx.writes) {
      if (!key.startsWith("host/") || value === null) continue;
      const next = value as StoredHost;
      const old = before.get(key)?.value as StoredHost | undefined;
      if (old !== undefined && next.epoch <= old.epoch) {
        this.violations.push(`epoch of ${next.name} did not increase`);
      }
      const startsDrain = old?.state === "serving" && next.state === "draining";
      if (!startsDrain || exempt.has(next.name)) continue;
      const remaining = [...before.values()]
        .filter((row) => row.key.startsWith("host/") && row.key !== key)
        .map((row) => row.value as StoredHost)
        .filter((h) => h.pool === old.pool && h.state === "serving")
        .filter((h) => !unavailable.has(h.name)).length;
      if (remaining < budgets[old.pool]) {
        this.violations.push(`pool ${old.pool} drained to ${remaining} hosts`);
      }
    }
  }

  /** Checks that the table version in one process never decreases. */
  checkTableVersion(process: string, version: number): void {
    const last = this.#lastVersions.get(process) ?? 0;
    if (version < last) this.violations.push(`table reverted on ${process}`);
    this.#lastVersions.set(process, version);
  }

  /** Checks that a request ends only once and gets its own answer. */
  checkResult(result: CallerResult): void {
    const count = (this.#resultCounts.get(result.id) ?? 0) + 1;
    this.#resultCounts.set(result.id, count);
    if (count > 1) this.violations.push(`${result.id} ended ${count} times`);
    if (result.code === 1000 && result.answer !== result.id) {
      this.violations.push(
        `${result.id} got the answer to ${result.answer}`,
      );
    }
  }

  /**
   * Checks all runs at the end: refused requests did not run, each key of the
   * at-most-once class ran at most once, and no host ran two pools at once.
   */
  checkRuns(
    runs: readonly FakeRun[],
    results: readonly CallerResult[],
    onceClass: string,
  ): void {
    const ranBodies = new Set(runs.map((r) => r.body));
    for (const result of results) {
      if (result.run === "not-run" && ranBodies.has(result.id)) {
        this.violations.push(
          `${result.id} was refused as not run, but ran`,
        );
      }
    }
    const runsPerKey = new Map<string, number>();
    for (const run of runs.filter((r) => r.class === onceClass)) {
      runsPerKey.set(run.key, (runsPerKey.get(run.key) ?? 0) + 1);
    }
    for (const [key, count] of runsPerKey) {
      if (count > 1) this.violations.push(`key ${key} ran ${count} times`);
    }
    for (const a of runs) {
      for (const b of runs) {
        const overlap = a.startedAt < b.endedAt && b.startedAt < a.endedAt;
        if (a.host === b.host && a.pool < b.pool && overlap) {
          this.violations.push(`${a.host} ran ${a.pool} and ${b.pool} at once`);
        }
      }
    }
  }
}
