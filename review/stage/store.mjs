/**
 * Stand-in for the platform's store: rows, transactions and feeds, with the
 * figures of the small deployments. Each entry has an address of its own, so
 * that the store knows who calls.
 */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { serve, sleep } from "./http.mjs";

const answerMs = 4;
const txMs = 5;
const rowBytes = 65_536;
const maxEntries = 100;
const maxCallBytes = 1_000_000;
const maxRows = 500;
const historyMs = 20_000;
const writesPerS = 600;
const readsPerS = 2_000;

function compareKeys(a, b) {
  return Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));
}

/** Counts calls, and refuses those above a rate. */
class Rate {
  #windowAt = 0;
  #count = 0;

  constructor(perS) {
    this.perS = perS;
  }

  admit() {
    const t = performance.now();
    if (t - this.#windowAt >= 1_000) {
      this.#windowAt = t;
      this.#count = 0;
    }
    return ++this.#count <= this.perS;
  }
}

export class StoreStandIn {
  #rows = new Map();
  #ver = 1;
  #history = [];
  #dropped = 0;
  #waiting = new Set();
  #freeAt = new Map();
  #writes = new Rate(writesPerS);
  #reads = new Rate(readsPerS);
  /** `up`, or `busy`: every call gets 503 and nothing is done. */
  state = "up";
  /** Called when the answer to a transaction that was done is on its way. */
  onAnswered = () => {};

  constructor(record) {
    this.record = record;
  }

  /** Opens an address for the calls of one entry; returns it. */
  async open(ip, entry) {
    const { address } = await serve(
      ip,
      (method, url, body, _, text) =>
        this.#handle(entry, method, url, body, text),
    );
    return address;
  }

  /** Writes a row as the operator or a worker does; null removes it. */
  write(table, part, key, value) {
    const text = value === null ? null : JSON.stringify(value);
    this.#apply([{ table, part, key, value: text }]);
  }

  read(table, part, key) {
    const row = this.#rows.get(`${table}\n${part}\n${key}`);
    return row && Buffer.from(row.value, "base64").toString("utf8");
  }

  /** Makes the store refuse all calls for a time. */
  async beDown(ms) {
    this.record.add("store-down", { ms });
    this.state = "busy";
    for (const wake of [...this.#waiting]) wake();
    await sleep(ms);
    this.state = "up";
    this.record.add("store-up");
  }

  #apply(changes) {
    this.#ver++;
    for (const { table, part, key, value } of changes) {
      const name = `${table}\n${part}\n${key}`;
      const row = { table, part, key, ver: this.#ver };
      if (value === null) {
        if (!this.#rows.delete(name)) continue;
        row.tombstone = true;
      } else {
        row.value = Buffer.from(value, "utf8").toString("base64");
        this.#rows.set(name, row);
      }
      this.#history.push({ row, at: performance.now() });
    }
    const oldest = performance.now() - historyMs;
    while (this.#history.length > 0 && this.#history[0].at < oldest) {
      this.#dropped = this.#history.shift().row.ver;
    }
    for (const wake of [...this.#waiting]) wake();
    return this.#ver;
  }

  #body(fields) {
    return { ...fields, nowMs: Math.round(performance.now()) };
  }

  async #handle(entry, method, url, body, text) {
    if (this.state === "busy") return { status: 503 };
    if (method === "POST" && url.pathname === "/-/rows-tx") {
      if (!this.#writes.admit()) return this.#throttled(entry);
      return await this.#transact(entry, body, text);
    }
    if (!this.#reads.admit()) return this.#throttled(entry);
    await sleep(answerMs);
    if (this.state === "busy") return { status: 503 };
    if (url.pathname === "/-/rows-get") return this.#range(url.searchParams);
    if (url.pathname === "/-/rows-feed") {
      return await this.#feed(url.searchParams);
    }
    return { status: 404 };
  }

  #throttled(entry) {
    this.record.add("store-throttled", { entry });
    return { status: 429 };
  }

  async #transact(entry, body, text) {
    const { expected = [], puts = [], remove = [] } = body;
    const all = [...expected, ...puts, ...remove];
    const parts = new Set(all.map((each) => each.part ?? ""));
    const tooLarge = puts.some((put) =>
      Buffer.from(put.value, "base64").length > rowBytes
    );
    if (
      all.length > maxEntries || text.length > maxCallBytes || tooLarge ||
      parts.size > 1 || body.across
    ) {
      this.record.add("store-rejected", {
        entry,
        parts: parts.size,
        tooLarge,
        bytes: text.length,
      });
      return { status: 400 };
    }
    const isForeign = [...puts, ...remove].some((each) =>
      each.table === "op" || each.table === "servers"
    );
    if (isForeign) return { status: 403 };
    const [part] = parts;
    const t = performance.now();
    const freeAt = Math.max(t, this.#freeAt.get(part) ?? 0) + txMs;
    if (freeAt - t > 1_000) return this.#throttled(entry);
    this.#freeAt.set(part, freeAt);
    await sleep(freeAt - t);
    if (this.state === "busy") return { status: 503 };
    const found = expected.map((each) =>
      this.#rows.get(`${each.table}\n${each.part ?? ""}\n${each.key}`)
    );
    const holds = expected.every((each, i) =>
      (found[i]?.ver ?? 0) === each.ver
    );
    if (!holds) {
      const rows = found.filter((row) => row !== undefined);
      return { status: 412, body: this.#body({ ver: this.#ver, rows }) };
    }
    const ver = this.#apply([
      ...puts.map((put) => ({
        ...put,
        part: put.part ?? "",
        value: Buffer.from(put.value, "base64").toString("utf8"),
      })),
      ...remove.map((each) => ({
        ...each,
        part: each.part ?? "",
        value: null,
      })),
    ]);
    return {
      status: 200,
      body: this.#body({ ver }),
      sent: () => this.onAnswered(entry, body),
    };
  }

  #range(query) {
    const [table, part] = [query.get("table"), query.get("part") ?? ""];
    const [from, to] = [query.get("from"), query.get("to")];
    const limit = Math.min(maxRows, Number(query.get("limit") ?? maxRows));
    const rows = [...this.#rows.values()].filter((row) =>
      row.table === table && row.part === part &&
      (from === null || row.key >= from) && (to === null || row.key < to)
    ).sort(compareKeys);
    const page = [];
    let bytes = 0;
    for (const row of rows) {
      bytes += row.value.length + 100;
      if (page.length >= limit || bytes > maxCallBytes) break;
      page.push(row);
    }
    const truncated = page.length < rows.length;
    return {
      status: 200,
      body: this.#body({ rows: page, truncated, ver: this.#ver }),
    };
  }

  async #feed(query) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const until = performance.now() + Number(query.get("waitMs") ?? 0);
    for (;;) {
      if (this.state === "busy") return { status: 503 };
      if (after < this.#dropped) return { status: 410 };
      const rows = this.#history.map((each) => each.row).filter((row) =>
        row.table === table && row.ver > after
      );
      if (rows.length > 0 || performance.now() >= until) {
        return { status: 200, body: this.#body({ rows, ver: this.#ver }) };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, until - performance.now());
        this.#waiting.add(wake);
      });
    }
  }
}
