/** Writes what was sent, answered and run, one line an event. */
import { writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";

const startedAt = performance.now();

/** Time since the start of the script, in ms. */
export function now() {
  return performance.now() - startedAt;
}

/** Collects the lines of record.txt. */
export class Record {
  #lines = [];

  constructor(file) {
    this.file = file;
  }

  /** Adds a line: the time in ms, the kind of event and its fields. */
  add(kind, fields = {}) {
    const text = Object.entries(fields)
      .map(([name, value]) => `${name}=${value}`).join(" ");
    this.#lines.push(`${now().toFixed(0).padStart(6)} ${kind} ${text}`);
  }

  save() {
    writeFileSync(this.file, this.#lines.join("\n") + "\n");
  }
}
