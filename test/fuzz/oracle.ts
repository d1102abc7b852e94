/**
 * The judge of a simulation. It looks only at what endpoints ran, what the
 * platform committed, and what callers were told.
 */
import type { Row, Transaction } from "../../src/platform/index.ts";
import type { FakeRun } from "./fake_endpoints.ts";

/** What a caller was told of one request. */
export interface CallerResult {
  readonly id: string;
  readonly code: number;
  readonly run: string;
  readonly answer: string;
}

interface StoredHost {
  readonly name: string;
  readonly pool: string;
  readonly state: string;
  readonly epoch: number;
}

/** Collects broken promises. */
export class Oracle {
  readonly violations: string[] = [];
  #lastVersions = new Map<string, number>();
  #resultCounts = new Map<string, number>();

  /**
   * A commit as the platform applied it; `before` holds the old rows. Hosts
   * count as `unavailable` when a decision had to know it, and as `free` to
   * drain as soon as they are out of service by other causes.
   */
  checkCommit(
    tx: Transaction,
    before: ReadonlyMap<string, Row>,
    budgets: Readonly<Record<string, number>>,
    unavailable: ReadonlySet<string>,
    exempt: ReadonlySet<string>,
  ): void {
    for (const { key, value } of tx.writes) {
      if (!key.startsWith("host/") || value === null) continue;
      const next = value as StoredHost;
      const old = before.get(key)?.value as StoredHost | undefined;
      if (old !== undefined && next.epoch <= old.epoch) {
        this.violations.push(`epoch of ${next.name} did not rise`);
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

  /** The table version in force on one start of an entry. */
  checkTableVersion(process: string, version: number): void {
    const last = this.#lastVersions.get(process) ?? 0;
    if (version < last) this.violations.push(`table reverted on ${process}`);
    this.#lastVersions.set(process, version);
  }

  /** A request has ended for its caller. */
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

  /** Judges the whole record of runs at the end. */
  checkRuns(
    runs: readonly FakeRun[],
    results: readonly CallerResult[],
    onceClass: string,
  ): void {
    const ranBodies = new Set(runs.map((r) => r.body));
    for (const result of results) {
      if (result.run === "not-run" && ranBodies.has(result.id)) {
        this.violations.push(
          `${result.id} was refused as not run, and ran`,
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
