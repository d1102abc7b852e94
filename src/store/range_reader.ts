/**
 * Reads ranges of any length in pages. How large the pages are and how many are
 * on their way at once is decided by a {@link ReadWindow}.
 */
import { Err, Ok, type Result } from "ts-results";
import { type PageGrant, ReadWindow } from "./read_window.ts";
import type {
  RangeQuery,
  RangeResult,
  StoreFailure,
  StoreRow,
} from "./store.ts";

/** Most attempts at one page, after an earlier page has arrived. */
const maxPageAttempts = 3;

/** The first rows of a range, as of one moment. */
export interface RowPage {
  readonly rows: readonly StoreRow[];
  /** Version of the store at that moment. */
  readonly version: number;
  /** Whether the range has further rows. */
  readonly truncated: boolean;
}

/** Reads at most `maxRows` rows from the beginning of a range. */
export type ReadPage = (
  query: RangeQuery,
  maxRows: number,
) => Promise<Result<RowPage, StoreFailure>>;

/** Whether a range has exactly one key. */
function isSingleKey({ from, to }: RangeQuery): boolean {
  return from !== undefined && to === `${from}\0`;
}

/** Reads the ranges of one client of the store. */
export class RangeReader {
  /** Windows by table, as tables differ in the size of their rows. */
  readonly #windows = new Map<string, ReadWindow>();
  /** Long reads under way that no `giveUpAt` limits. */
  #lastingReads = 0;
  /** Wake the reads that wait for these to end. */
  readonly #waiting: (() => void)[] = [];

  /** @param now Returns the monotonic time in ms. */
  constructor(
    private readonly readPage: ReadPage,
    private readonly now: () => number,
  ) {}

  /**
   * Reads a whole range; that of a single row waits for no other, and one with
   * `giveUpAt` for all others.
   */
  async read(query: RangeQuery): Promise<Result<RangeResult, StoreFailure>> {
    if (isSingleKey(query)) return await this.readPage(query, 1);
    const { table } = query;
    const window = this.#windows.get(table) ?? new ReadWindow(this.now);
    this.#windows.set(table, window);
    const isLasting = query.giveUpAt === undefined;
    if (isLasting) this.#lastingReads++;
    window.beginRead();
    try {
      return await this.#readPages(query, window);
    } finally {
      window.endRead();
      if (window.isIdle) this.#windows.delete(table);
      if (isLasting) this.#endLastingRead();
    }
  }

  #endLastingRead(): void {
    this.#lastingReads--;
    if (this.#lastingReads > 0) return;
    for (const wake of this.#waiting.splice(0)) wake();
  }

  async #readPages(
    query: RangeQuery,
    window: ReadWindow,
  ): Promise<Result<RangeResult, StoreFailure>> {
    const rows: StoreRow[] = [];
    let from = query.from;
    let version = Infinity;
    for (;;) {
      const attempts = rows.length === 0 ? 1 : maxPageAttempts;
      const pageQuery = { ...query, ...(from && { from }) };
      const page = await this.#tryPage(pageQuery, window, attempts);
      if (page.err) return page;
      version = Math.min(version, page.val.version);
      rows.push(...page.val.rows);
      const last = rows.at(-1);
      if (!page.val.truncated || last === undefined) {
        return Ok({ rows, version });
      }
      // The first key after the last one that was read.
      from = `${last.key}\0`;
    }
  }

  /** Reads a page, repeatedly if it does not arrive in time. */
  async #tryPage(
    query: RangeQuery,
    window: ReadWindow,
    maxAttempts: number,
  ): Promise<Result<RowPage, StoreFailure>> {
    for (let attempt = 1;; attempt++) {
      const page = await this.#readInWindow(query, window);
      if (page.ok || page.val.kind !== "unknown") return page;
      if (attempt >= maxAttempts) return page;
    }
  }

  /** Reads one page when the window has room for it. */
  async #readInWindow(
    query: RangeQuery,
    window: ReadWindow,
  ): Promise<Result<RowPage, StoreFailure>> {
    const { giveUpAt = Infinity } = query;
    const isInTime = this.now() < giveUpAt;
    const grant = (isInTime && this.#tryAcquire(query, window)) ||
      await this.#awaitGrant(query, window);
    if (grant === undefined) {
      return Err({ kind: "refused", message: "given up" });
    }
    const page = await this.readPage(query, grant.maxRows);
    const isLate = page.err && page.val.kind === "unknown";
    const rows = page.ok ? page.val.rows.length : 0;
    window.release(grant, isLate ? undefined : rows);
    return page;
  }

  /** Takes leave to read a page, if the window and other reads give it. */
  #tryAcquire(query: RangeQuery, window: ReadWindow): PageGrant | undefined {
    return this.#mayRead(query) ? window.tryAcquire() : undefined;
  }

  /** Whether no other read comes before this one. */
  #mayRead({ giveUpAt }: RangeQuery): boolean {
    return giveUpAt === undefined || this.#lastingReads === 0;
  }

  /** Waits for leave to read a page; undefined if the read is to be given up. */
  async #awaitGrant(
    query: RangeQuery,
    window: ReadWindow,
  ): Promise<PageGrant | undefined> {
    const { giveUpAt = Infinity } = query;
    while (this.now() < giveUpAt) {
      const grant = this.#tryAcquire(query, window);
      if (grant !== undefined) return grant;
      if (this.#mayRead(query)) await window.changed();
      else await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    return undefined;
  }
}
