/**
 * Tells for which pools an allowance row still waits, or keeps an amount, though
 * they have nothing running any more.
 */
import type { Allowance } from "./allowance_row.ts";

/** Pools that have been away for long, by workspace. */
export class GonePools {
  /** Monotonic time in ms since which a pool is away, by workspace and pool. */
  readonly #awaySince = new Map<string, Map<string, number>>();

  /** @param afterMs Time after which a pool that is away is gone, in ms. */
  constructor(private readonly afterMs: number) {}

  /**
   * Returns the pools that a row names and that have been away for long at the
   * monotonic time `now` (ms): those that the catalog does not serve, and those
   * that have not declared what they have running.
   */
  update(
    workspace: string,
    allowance: Allowance | undefined,
    servingPools: readonly string[],
    now: number,
  ): ReadonlySet<string> {
    if (allowance === undefined) return new Set();
    const { holdings, undeclaredPools } = allowance;
    const unserved = holdings.map(({ pool }) => pool)
      .filter((pool) => !servingPools.includes(pool));
    const before = this.#awaySince.get(workspace);
    const away = new Map(
      [...unserved, ...undeclaredPools]
        .map((pool) => [pool, before?.get(pool) ?? now]),
    );
    this.#awaySince.set(workspace, away);
    return new Set(
      [...away].filter(([, since]) => now - since > this.afterMs)
        .map(([pool]) => pool),
    );
  }
}
