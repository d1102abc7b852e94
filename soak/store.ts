/**
 * Stand-in of the platform's store: rows in tables, transactions within one
 * part, ranges, and a feed of changes.
 */
import { Buffer } from "node:buffer";
import * as v from "valibot";
import {
  historyMs,
  maxWaitingTransactions,
  readsPerSecond,
  storeAnswerMs,
  transactionMs,
  writesPerSecond,
} from "./bounds.ts";
import { type Call, JsonServer, type Reply } from "./json_server.ts";
import { pause } from "./pause.ts";

/** Most entries of a transaction. */
const maxEntries = 100;

/** Largest transaction, in bytes. */
const maxCallBytes = 1_000_000;

/** Largest value of a row, in bytes. */
const maxRowBytes = 65_536;

/** Most rows of one response. */
const maxPageRows = 500;

/** Longest wait of a feed, in ms. */
const maxFeedWaitMs = 30_000;

/** Tables that only the operator and the endpoints write to. */
const readOnlyTables: ReadonlySet<string> = new Set(["op", "servers"]);

const rowNameEntries = {
  table: v.string(),
  part: v.optional(v.string(), ""),
  key: v.string(),
};

const transactionSchema = v.object({
  expected: v.optional(
    v.array(v.object({ ...rowNameEntries, ver: v.number() })),
    [],
  ),
  puts: v.optional(
    v.array(v.object({ ...rowNameEntries, value: v.string() })),
    [],
  ),
  remove: v.optional(v.array(v.object(rowNameEntries)), []),
});

type Transaction = v.InferOutput<typeof transactionSchema>;

/** Names a row. */
interface RowName {
  readonly table: string;
  readonly part: string;
  readonly key: string;
}

/** A row, or the mark that it was removed. */
interface Row extends RowName {
  readonly ver: number;
  /** The value in base64; absent in a mark. */
  readonly value?: string;
  readonly tombstone?: true;
}

/** A change, and when it was made. */
interface Change {
  readonly at: number;
  readonly row: Row;
}

/** Orders texts by their bytes. */
function compareBytes(a: string, b: string): number {
  return Buffer.compare(Buffer.from(a), Buffer.from(b));
}

/** One table: its rows, its recent changes, and who waits for the next. */
class Table {
  readonly rows = new Map<string, Row>();
  readonly #changes: Change[] = [];
  readonly #waiting = new Set<() => void>();
  /** Version up to which changes have been discarded. */
  #discardedUpTo = 0;

  /** Identifies a row within its table. */
  static rowId({ part, key }: Pick<RowName, "part" | "key">): string {
    return JSON.stringify([part, key]);
  }

  /** Notes a change of a row, and forgets those that are too old. */
  apply(row: Row): void {
    const id = Table.rowId(row);
    if (row.tombstone) this.rows.delete(id);
    else this.rows.set(id, row);
    const at = performance.now();
    this.#changes.push({ at, row });
    while (at - this.#changes[0].at > historyMs) this.#discardOldest();
    for (const wake of [...this.#waiting]) wake();
  }

  /** The changes after a version; undefined if some of them are forgotten. */
  changesAfter(version: number): readonly Row[] | undefined {
    if (version < this.#discardedUpTo) return undefined;
    const later = this.#changes.findLastIndex(({ row }) => row.ver <= version);
    return this.#changes.slice(later + 1).map(({ row }) => row);
  }

  /** Resolves at the next change, or after `ms`. */
  nextChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.#waiting.add(wake);
    });
  }

  #discardOldest(): void {
    const oldest = this.#changes.shift();
    if (oldest !== undefined) this.#discardedUpTo = oldest.row.ver;
  }
}

/** Counts calls, and refuses those beyond a rate. */
class CallRate {
  #windowFrom = 0;
  #calls = 0;
  /** Calls that were refused so far. */
  refused = 0;

  constructor(private readonly perSecond: number) {}

  /** Whether one more call is within the rate. */
  take(): boolean {
    const now = performance.now();
    if (now - this.#windowFrom >= 1_000) {
      this.#windowFrom = now;
      this.#calls = 0;
    }
    this.#calls++;
    const isWithin = this.#calls <= this.perSecond;
    if (!isWithin) this.refused++;
    return isWithin;
  }
}

/** The transactions of one part, which are performed one after another. */
class PartTurns {
  #last: Promise<void> = Promise.resolve();
  #waiting = 0;

  /** Whether so many transactions wait that no other may join them. */
  get isFull(): boolean {
    return this.#waiting >= maxWaitingTransactions;
  }

  /** Resolves when the transactions before this one have been performed. */
  async take(): Promise<void> {
    this.#waiting++;
    this.#last = this.#last.then(() => pause(transactionMs));
    await this.#last;
    this.#waiting--;
  }
}

/** Answer to a call to a part that is down. */
const unavailable: Reply = { status: 503 };

/** Answer to a call beyond a rate. */
const tooMany: Reply = { status: 429 };

/** The store, as a server on a loopback address. */
export class StoreStandIn {
  readonly #server = new JsonServer((call) => this.#serve(call));
  readonly #tables = new Map<string, Table>();
  readonly #partTurns = new Map<string, PartTurns>();
  readonly #writes = new CallRate(writesPerSecond);
  readonly #reads = new CallRate(readsPerSecond);
  #version = 0;
  /** Whether a part is down, so that calls to it are refused. */
  isDown: (part: string) => boolean = () => false;

  /** Listens on a free loopback port; returns the address. */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Stops listening and ends all connections. */
  close(): void {
    this.#server.close();
  }

  /** Number of calls that were refused because there were too many. */
  get refusedCalls(): number {
    return this.#writes.refused + this.#reads.refused;
  }

  /** Writes a row without a part, as the operator or an endpoint does. */
  put(table: string, key: string, value: object): void {
    const text = Buffer.from(JSON.stringify(value), "utf8").toString("base64");
    this.#apply({
      expected: [],
      puts: [{ table, part: "", key, value: text }],
      remove: [],
    });
  }

  /** Removes a row without a part, as when it expires. */
  remove(table: string, key: string): void {
    this.#apply({ expected: [], puts: [], remove: [{ table, part: "", key }] });
  }

  /** The text of a row's value; undefined if there is no such row. */
  read(name: RowName): string | undefined {
    const row = this.#find(name);
    if (row?.value === undefined) return undefined;
    return Buffer.from(row.value, "base64").toString("utf8");
  }

  async #serve(call: Call): Promise<Reply> {
    await pause(storeAnswerMs);
    const rate = call.method === "POST" ? this.#writes : this.#reads;
    if (!rate.take()) return tooMany;
    switch (`${call.method} ${call.path}`) {
      case "POST /-/rows-tx":
        return await this.#transact(call);
      case "GET /-/rows-get":
        return this.#getRange(call.query);
      case "GET /-/rows-feed":
        return await this.#feed(call.query);
      case "GET /-/rows-parts":
        return this.#listParts(call.query);
      default:
        return { status: 404 };
    }
  }

  async #transact({ body, size }: Call): Promise<Reply> {
    const parsed = v.safeParse(transactionSchema, body);
    if (!parsed.success || size > maxCallBytes) return { status: 400 };
    const tx = parsed.output;
    const parts = new Set(
      [...tx.expected, ...tx.puts, ...tx.remove].map(({ part }) => part),
    );
    if (parts.size > 1 || !isWithinLimits(tx)) return { status: 400 };
    const isForbidden = [...tx.puts, ...tx.remove]
      .some(({ table }) => readOnlyTables.has(table));
    if (isForbidden) return { status: 403 };
    const turns = this.#turnsOf([...parts][0] ?? "");
    if (turns.isFull) return tooMany;
    await turns.take();
    if ([...parts].some((part) => this.isDown(part))) return unavailable;
    return this.#perform(tx);
  }

  #turnsOf(part: string): PartTurns {
    const turns = this.#partTurns.get(part) ?? new PartTurns();
    this.#partTurns.set(part, turns);
    return turns;
  }

  #perform(tx: Transaction): Reply {
    const isMet = tx.expected.every((row) =>
      (this.#find(row)?.ver ?? 0) === row.ver
    );
    if (!isMet) {
      const rows = tx.expected.map((row) => this.#find(row))
        .filter((row) => row !== undefined);
      return this.#answer(412, { rows });
    }
    this.#apply(tx);
    return this.#answer(200, {});
  }

  #apply({ puts, remove }: Transaction): void {
    this.#version++;
    const ver = this.#version;
    for (const { table, part, key, value } of puts) {
      this.#table(table).apply({ table, part, key, value, ver });
    }
    for (const { table, part, key } of remove) {
      if (this.#find({ table, part, key }) === undefined) continue;
      this.#table(table).apply({ table, part, key, ver, tombstone: true });
    }
  }

  #getRange(query: URLSearchParams): Reply {
    const part = query.get("part") ?? "";
    if (this.isDown(part)) return unavailable;
    const from = query.get("from") ?? "";
    const to = query.get("to");
    const limit = Math.min(
      Number(query.get("limit")) || maxPageRows,
      maxPageRows,
    );
    const found = [...this.#table(query.get("table") ?? "").rows.values()]
      .filter((row) => row.part === part)
      .filter(({ key }) => compareBytes(key, from) >= 0)
      .filter(({ key }) => to === null || compareBytes(key, to) < 0)
      .sort((a, b) => compareBytes(a.key, b.key));
    const rows: Row[] = [];
    let bytes = 0;
    for (const row of found.slice(0, limit)) {
      bytes += JSON.stringify(row).length;
      if (rows.length > 0 && bytes > maxCallBytes) break;
      rows.push(row);
    }
    const truncated = rows.length < found.length;
    return this.#answer(200, { rows, truncated });
  }

  async #feed(query: URLSearchParams): Promise<Reply> {
    const table = this.#table(query.get("table") ?? "");
    const after = Number(query.get("after") ?? 0);
    const waitMs = Math.min(Number(query.get("waitMs")) || 0, maxFeedWaitMs);
    const until = performance.now() + waitMs;
    for (;;) {
      const rows = table.changesAfter(after);
      if (rows === undefined) return { status: 410 };
      const leftMs = until - performance.now();
      if (rows.length > 0 || leftMs <= 0) return this.#answer(200, { rows });
      await table.nextChange(leftMs);
    }
  }

  #listParts(query: URLSearchParams): Reply {
    const after = query.get("after") ?? "";
    const rows = this.#table(query.get("table") ?? "").rows.values();
    const parts = new Set([...rows].map(({ part }) => part));
    const later = [...parts].filter((part) => compareBytes(part, after) > 0);
    later.sort(compareBytes);
    return this.#answer(200, { parts: later.slice(0, 1_000) });
  }

  #answer(status: number, body: object): Reply {
    const nowMs = Math.round(performance.now());
    return { status, body: { ...body, ver: this.#version, nowMs } };
  }

  #find(name: RowName): Row | undefined {
    return this.#tables.get(name.table)?.rows.get(Table.rowId(name));
  }

  #table(name: string): Table {
    const table = this.#tables.get(name) ?? new Table();
    this.#tables.set(name, table);
    return table;
  }
}

/** Whether a transaction keeps the limits on entries and values. */
function isWithinLimits({ expected, puts, remove }: Transaction): boolean {
  const entries = expected.length + puts.length + remove.length;
  const areSmall = puts.every(({ value }) =>
    Buffer.byteLength(value, "base64") <= maxRowBytes
  );
  return entries <= maxEntries && areSmall;
}
