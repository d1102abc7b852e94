/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: rows with
 * versions, conditional transactions, range reads and a change feed.
 */
import { serve, sleep } from "./http.mjs";

/** Time that a call takes, in ms: at least, and at most so much more. */
const txMs = 4;
const readMs = 2;
const jitterMs = 4;
const maxRows = 500;

const idOf = ({ table, part = "", key }) => `${table}\0${part}\0${key}`;

export class Store {
  rows = new Map();
  version = 0;
  history = [];
  waiting = new Set();
  /** Partitions that calls have named. */
  parts = new Set();
  /** Whether a call to a partition is refused with 503; set by the test. */
  isDown = () => false;
  /** Called with each transaction that was carried out. */
  onCommitted = () => {};

  servers = [];

  async start() {
    this.address = await this.listen(() => false);
  }

  /**
   * Opens a further address, for one client. While `isCut` holds, no call from
   * there arrives and no answer does.
   */
  async listen(isCut, onCall = () => {}) {
    const server = await serve(async (method, url, body) => {
      if (isCut()) return undefined;
      onCall(url);
      const answer = await this.handle(method, url, body);
      return isCut() ? undefined : answer;
    });
    this.servers.push(server);
    return server.address;
  }

  close() {
    for (const server of this.servers) server.close();
  }

  handle(method, url, body) {
    const call = `${method} ${url.pathname}`;
    if (call === "POST /-/rows-tx") return this.commit(body);
    const query = Object.fromEntries(url.searchParams);
    if (call === "GET /-/rows-get") return this.range(query);
    if (call === "GET /-/rows-feed") return this.feed(query);
    return { status: 400 };
  }

  /** Carries out a transaction; it has no effect if a check fails. */
  async commit({ expected = [], puts = [], remove = [] }) {
    const entries = [...expected, ...puts, ...remove];
    for (const { part = "" } of entries) this.parts.add(part);
    await sleep(txMs + Math.random() * jitterMs);
    if (entries.some((e) => this.isDown(e.table, e.part ?? ""))) {
      return { status: 503 };
    }
    const isFailed = ({ ver, ...key }) =>
      (this.rows.get(idOf(key))?.ver ?? 0) !== ver;
    if (expected.some(isFailed)) {
      const rows = expected.map((e) => this.rows.get(idOf(e)));
      return { status: 412, body: { rows: rows.filter((r) => r) } };
    }
    const ver = this.write(puts, remove);
    this.onCommitted({ expected, puts, remove, ver });
    return { status: 200, body: { ver, nowMs: Math.round(performance.now()) } };
  }

  /** Writes rows without a condition, as the operator and the workers do. */
  write(puts, remove = []) {
    const ver = ++this.version;
    for (const { table, part = "", key, value } of puts) {
      const row = { table, part, key, value, ver };
      this.rows.set(idOf(row), row);
      this.history.push(row);
    }
    for (const { table, part = "", key } of remove) {
      if (!this.rows.delete(idOf({ table, part, key }))) continue;
      this.history.push({ table, part, key, ver, tombstone: true });
    }
    for (const wake of [...this.waiting]) wake();
    return ver;
  }

  /** Writes a JSON value. */
  putJson(table, key, value) {
    const base64 = Buffer.from(JSON.stringify(value)).toString("base64");
    return this.write([{ table, part: "", key, value: base64 }]);
  }

  /** The JSON value of a row; undefined if there is none. */
  json(table, part, key) {
    const row = this.rows.get(idOf({ table, part, key }));
    return row && JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
  }

  async range({ table, part = "", from, to, limit }) {
    this.parts.add(part);
    await sleep(readMs + Math.random() * jitterMs);
    if (this.isDown(table, part)) return { status: 503 };
    const found = [...this.rows.values()].filter((row) =>
      row.table === table && row.part === part &&
      (from === undefined || row.key >= from) &&
      (to === undefined || row.key < to)
    ).sort((a, b) => (a.key < b.key ? -1 : 1));
    const most = Math.min(maxRows, Number(limit ?? maxRows));
    const rows = found.slice(0, most);
    const truncated = found.length > most;
    return { status: 200, body: { rows, truncated, ver: this.version } };
  }

  async feed({ table, after, waitMs }) {
    const until = performance.now() + Number(waitMs);
    await sleep(readMs + Math.random() * jitterMs);
    for (;;) {
      const rows = this.history.filter((row) =>
        row.table === table && row.ver > Number(after)
      );
      const leftMs = until - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        return { status: 200, body: { rows, ver: this.version } };
      }
      await this.change(leftMs);
    }
  }

  change(ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiting.add(wake);
    });
  }
}
