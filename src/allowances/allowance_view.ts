/**
 * What an owner knows of the allowance rows: as the feed and the answers to its
 * own transactions show them, and reduced by transactions of which it does not
 * know whether the store performs them.
 */
import { noResources, type Resources } from "../batch/index.ts";
import type { StoreRow, WatchHandler } from "../store/index.ts";
import {
  type Allowance,
  allowanceKey,
  decodeAllowance,
  holdingOf,
} from "./allowance_row.ts";
import { amountsOf } from "./amounts.ts";

/** A row as last seen; the version is 0 if there is none. */
export interface SeenAllowance {
  readonly version: number;
  /** Undefined if the row is missing or malformed. */
  readonly allowance: Allowance | undefined;
}

/** What a transaction in doubt makes of a pool's holding. */
interface ProposedAmount {
  /** Version of the row that the transaction expects. */
  readonly version: number;
  readonly amount: Resources;
}

const noRow: SeenAllowance = { version: 0, allowance: undefined };

/** The rows of all limited workspaces as one pool's owner sees them. */
export class AllowanceView {
  /** By the key of the row. */
  readonly #rows = new Map<string, SeenAllowance>();
  /**
   * Highest version of each row that was ever seen. Answers to transactions
   * overtake those of reads and of the feed, which must not bring back an
   * earlier row.
   */
  readonly #highestVersions = new Map<string, number>();
  readonly #proposed = new Map<string, ProposedAmount>();

  /**
   * @param pool The owner's pool.
   * @param term Its fencing token.
   */
  constructor(
    private readonly pool: string,
    private readonly term: number,
  ) {}

  /** Handler of a watch of the rows. */
  readonly handler: WatchHandler = {
    reset: (rows) => {
      const found = new Set(rows.map(({ key }) => key));
      for (const key of [...this.#rows.keys()]) {
        if (!found.has(key)) this.forget(key);
      }
      for (const row of rows) this.update(row);
    },
    changed: (changes) => {
      for (const change of changes) {
        if (change.kind === "put") this.update(change.row);
        else this.forget(change.row.key);
      }
    },
  };

  /** Takes over a row, unless a newer one is known. */
  update({ key, value, version }: StoreRow): void {
    if (version < (this.#highestVersions.get(key) ?? 0)) return;
    this.#highestVersions.set(key, version);
    this.#rows.set(key, { version, allowance: decodeAllowance(value) });
  }

  /** Notes that a row does not exist. */
  forget(key: string): void {
    this.#rows.delete(key);
  }

  /** The row of a workspace. */
  seen(workspace: string): SeenAllowance {
    return this.#rows.get(allowanceKey(workspace).key) ?? noRow;
  }

  /** All rows that could be decoded. */
  all(): readonly (SeenAllowance & { readonly allowance: Allowance })[] {
    return [...this.#rows.values()].flatMap(({ version, allowance }) =>
      allowance === undefined ? [] : [{ version, allowance }]
    );
  }

  /** Notes that the pool's holding may become what `next` says. */
  propose(next: Allowance, version: number): void {
    const { key } = allowanceKey(next.workspace);
    const amount = holdingOf(next, this.pool)?.amount ?? noResources;
    const earlier = this.#proposed.get(key);
    const least = earlier?.version === version
      ? smallerOf(earlier.amount, amount)
      : amount;
    this.#proposed.set(key, { version, amount: least });
  }

  /**
   * What the pool holds for certain: not what an earlier owner has taken, and
   * not what a transaction gives back that may still be performed.
   */
  confirmedHolding(workspace: string): Resources {
    const { version, allowance } = this.seen(workspace);
    const own = allowance && holdingOf(allowance, this.pool);
    if (own === undefined || own.term !== this.term) return noResources;
    const proposed = this.#proposed.get(allowanceKey(workspace).key);
    if (proposed?.version !== version) return own.amount;
    return smallerOf(own.amount, proposed.amount);
  }
}

/** Returns the smaller amount of each resource. */
function smallerOf(a: Resources, b: Resources): Resources {
  return amountsOf((name) => Math.min(a[name], b[name]));
}
