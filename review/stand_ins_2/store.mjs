/**
 * Stand-in of the platform's metadata store: rows in tables, transactions,
 * ranges and a change feed, as PROTOCOL.md describes them.
 */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { delay, HttpServer } from "./http_server.mjs";

const answerMs = 4;
const transactionMs = 5;
const historyMs = 20_000;
const maxEntries = 100;
const maxCallBytes = 1_000_000;
const maxRowBytes = 65_536;
const maxPageRows = 500;
const maxWaitMs = 30_000;

/** Tables that only the operator and the workers write to. */
const readOnlyTables = new Set(["op", "servers"]);

function rowId({ table, part = "", key }) {
  return JSON.stringify([table, part, key]);
}

export class StoreStandIn {
  #rows = new Map();
  #changes = [];
  /** Version up to which changes have been discarded. */
  #discardedUpTo = 0;
  #version = 0;
  #waiting = new Set();
  /** End of the last transaction of each part. */
  #partQueues = new Map();
  /**
   * Called with each transaction of the system; returns undefined, or for a
   * transaction without an answer the time after which it is performed, in ms.
   */
  loseAnswer = () => undefined;
  /** Called after a transaction was performed, with the time of the call. */
  onPerformed = () => {};

  constructor() {
    this.server = new HttpServer((req) => this.#handle(req));
  }

  /** Writes a row as the operator or a worker; returns its version. */
  put(table, key, value) {
    return this.#apply(
      [{ table, part: "", key, value: encode(value) }],
      [],
    );
  }

  /** Removes a row as a worker whose entry has expired. */
  remove(table, key) {
    this.#apply([], [{ table, part: "", key }]);
  }

  async #handle({ method, path, query, body, size }) {
    await delay(answerMs);
    if (method === "POST" && path === "/-/rows-tx") {
      return await this.#transact(body, size);
    }
    if (method === "GET" && path === "/-/rows-get") return this.#get(query);
    if (method === "GET" && path === "/-/rows-feed") {
      return await this.#feed(query);
    }
    if (method === "GET" && path === "/-/rows-parts") return this.#parts(query);
    return { status: 404 };
  }

  async #transact({ expected = [], puts = [], remove = [] }, size) {
    const entries = [...expected, ...puts, ...remove];
    const parts = new Set(entries.map(({ part = "" }) => part));
    const isValid = entries.length <= maxEntries && parts.size <= 1 &&
      size <= maxCallBytes &&
      puts.every((p) => Buffer.from(p.value, "base64").length <= maxRowBytes);
    if (!isValid) return { status: 400 };
    const written = [...puts, ...remove];
    if (written.some(({ table }) => readOnlyTables.has(table))) {
      return { status: 403 };
    }
    const calledAt = performance.now();
    const lateMs = this.loseAnswer({ expected, puts, remove });
    if (lateMs !== undefined) {
      await delay(lateMs);
      const { status } = this.#perform(expected, puts, remove);
      this.onPerformed({ puts, remove, status, calledAt });
      return undefined;
    }
    await this.#takeTurn([...parts][0] ?? "");
    const answer = this.#perform(expected, puts, remove);
    this.onPerformed({ puts, remove, status: answer.status, calledAt });
    return answer;
  }

  /** Waits until the part has performed the transactions before this one. */
  async #takeTurn(part) {
    const before = this.#partQueues.get(part) ?? Promise.resolve();
    const turn = before.then(() => delay(transactionMs));
    this.#partQueues.set(part, turn);
    await turn;
  }

  #perform(expected, puts, remove) {
    const isMet = expected.every((row) =>
      (this.#rows.get(rowId(row))?.ver ?? 0) === row.ver
    );
    if (!isMet) {
      const rows = expected.map((row) => this.#rows.get(rowId(row)))
        .filter((row) => row !== undefined);
      return this.#answer(412, { rows });
    }
    this.#apply(puts, remove);
    return this.#answer(200, {});
  }

  #apply(puts, remove) {
    this.#version++;
    const at = performance.now();
    const ver = this.#version;
    for (const { table, part = "", key, value } of puts) {
      const row = { table, part, key, value, ver };
      this.#rows.set(rowId(row), row);
      this.#changes.push({ at, row });
    }
    for (const { table, part = "", key } of remove) {
      const row = { table, part, key, ver, tombstone: true };
      if (this.#rows.delete(rowId(row))) this.#changes.push({ at, row });
    }
    while (this.#changes[0] && at - this.#changes[0].at > historyMs) {
      this.#discardedUpTo = this.#changes.shift().row.ver;
    }
    for (const wake of [...this.#waiting]) wake();
    return ver;
  }

  #get(query) {
    const { table, part = "", from = "", to } = query;
    const limit = Math.min(Number(query.limit) || maxPageRows, maxPageRows);
    const found = [...this.#rows.values()]
      .filter((r) => r.table === table && r.part === part)
      .filter((r) => r.key >= from && (to === undefined || r.key < to))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    const rows = [];
    let bytes = 0;
    for (const row of found) {
      bytes += JSON.stringify(row).length;
      if (rows.length >= limit || (rows.length > 0 && bytes > maxCallBytes)) {
        break;
      }
      rows.push(row);
    }
    const truncated = rows.length < found.length;
    return this.#answer(200, { rows, truncated });
  }

  async #feed({ table, after, waitMs }) {
    const until = performance.now() + Math.min(Number(waitMs) || 0, maxWaitMs);
    for (;;) {
      if (Number(after) < this.#discardedUpTo) return { status: 410 };
      const rows = this.#changes
        .map(({ row }) => row)
        .filter((row) => row.table === table && row.ver > Number(after));
      const left = until - performance.now();
      if (rows.length > 0 || left <= 0) return this.#answer(200, { rows });
      await this.#nextChange(left);
    }
  }

  #nextChange(ms) {
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

  #parts({ table, after = "" }) {
    const parts = new Set(
      [...this.#rows.values()].filter((r) => r.table === table)
        .map((r) => r.part).filter((part) => part > after),
    );
    return this.#answer(200, { parts: [...parts].sort().slice(0, 1_000) });
  }

  #answer(status, body) {
    const nowMs = Math.round(performance.now());
    return { status, body: { ...body, ver: this.#version, nowMs } };
  }
}

function encode(value) {
  return Buffer.from(JSON.stringify(value), "utf8").toString("base64");
}

/** The text of a row's value. */
export function decodeValue(value) {
  return Buffer.from(value, "base64").toString("utf8");
}
