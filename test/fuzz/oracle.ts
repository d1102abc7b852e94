/**
 * The judge of a simulation. It looks only at what endpoints ran, what the
 * platform committed, and what callers were told.
 */
import type { Row, Transaction } from "../../src/platform/index.ts";
import type { FakeRun } from "./fake_endpoints.ts";

/** What a caller was told of one request. */
export interface CallerFact {
  readonly mark: string;
  readonly code: number;
  readonly run: string;
  readonly answer: string;
}

interface HostFact {
  readonly name: string;
  readonly pool: string;
  readonly state: string;
  readonly epoch: number;
}

/** Collects broken promises. */
export class Oracle {
  readonly faults: string[] = [];
  #versions = new Map<string, number>();
  #ends = new Map<string, number>();

  /**
   * A commit as the platform applied it; `before` holds the old rows. Hosts
   * count as `unavailable` when a decision had to know it, and as `free` to
   * drain as soon as they are out of service by other causes.
   */
  committed(
    tx: Transaction,
    before: ReadonlyMap<string, Row>,
    budgets: Readonly<Record<string, number>>,
    unavailable: ReadonlySet<string>,
    free: ReadonlySet<string>,
  ): void {
    for (const { key, value } of tx.writes) {
      if (!key.startsWith("host/") || value === null) continue;
      const next = value as HostFact;
      const old = before.get(key)?.value as HostFact | undefined;
      if (old !== undefined && next.epoch <= old.epoch) {
        this.faults.push(`epoch of ${next.name} did not rise`);
      }
      const drains = old?.state === "serving" && next.state === "draining";
      if (!drains || free.has(next.name)) continue;
      const left = [...before.values()]
        .filter((row) => row.key.startsWith("host/") && row.key !== key)
        .map((row) => row.value as HostFact)
        .filter((h) => h.pool === old.pool && h.state === "serving")
        .filter((h) => !unavailable.has(h.name)).length;
      if (left < budgets[old.pool]) {
        this.faults.push(`pool ${old.pool} drained to ${left} hosts`);
      }
    }
  }

  /** The table version in force on one start of an entry. */
  inForce(process: string, version: number): void {
    const known = this.#versions.get(process) ?? 0;
    if (version < known) this.faults.push(`table reverted on ${process}`);
    this.#versions.set(process, version);
  }

  /** A request has ended for its caller. */
  ended(fact: CallerFact): void {
    const ends = (this.#ends.get(fact.mark) ?? 0) + 1;
    this.#ends.set(fact.mark, ends);
    if (ends > 1) this.faults.push(`${fact.mark} ended ${ends} times`);
    if (fact.code === 1000 && fact.answer !== fact.mark) {
      this.faults.push(`${fact.mark} got the answer to ${fact.answer}`);
    }
  }

  /** Judges the whole record of runs at the end. */
  judgeRuns(
    runs: readonly FakeRun[],
    facts: readonly CallerFact[],
    once: string,
  ): void {
    const marks = new Set(runs.map((r) => r.mark));
    for (const fact of facts) {
      if (fact.run === "not-run" && marks.has(fact.mark)) {
        this.faults.push(`${fact.mark} was refused as not run, and ran`);
      }
    }
    const keys = new Map<string, number>();
    for (const run of runs.filter((r) => r.class === once)) {
      keys.set(run.key, (keys.get(run.key) ?? 0) + 1);
    }
    for (const [key, count] of keys) {
      if (count > 1) this.faults.push(`key ${key} ran ${count} times`);
    }
    for (const a of runs) {
      for (const b of runs) {
        const overlap = a.startedAt < b.endedAt && b.startedAt < a.endedAt;
        if (a.host === b.host && a.pool < b.pool && overlap) {
          this.faults.push(`${a.host} ran ${a.pool} and ${b.pool} at once`);
        }
      }
    }
  }
}
