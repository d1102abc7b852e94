/** Writes what a script has seen to `record.txt` in its folder. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";

export class Record {
  lines = [];
  startedAt = performance.now();

  constructor(folder) {
    this.file = join(folder, "record.txt");
  }

  /** Seconds since the start. */
  seconds(at = performance.now()) {
    return ((at - this.startedAt) / 1_000).toFixed(3);
  }

  add(text, at) {
    this.lines.push(`${this.seconds(at)} s  ${text}`);
  }

  write() {
    writeFileSync(this.file, this.lines.join("\n") + "\n");
  }
}
