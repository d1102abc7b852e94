/**
 * Decisions as JSON lines on standard output.
 *
 * Lines are gathered and written together; above the limit they are dropped
 * and counted, so that logging costs a bounded share of the processor.
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import bunyan from "bunyan";
import type { Clock } from "../clock/index.ts";
import type { DecisionFields, DecisionLog } from "../scheduler/index.ts";

/** Time for which lines are gathered, in ms. */
const gatherMs = 50;

/** Bytes that may wait for a slow reader; further lines are dropped. */
const maxWaitingBytes = 1_048_576;

const secondMs = 1_000;

/** Who writes, and how much at most. */
export interface DecisionWriterOptions {
  readonly entry: string;
  readonly zone: string;
  readonly level: bunyan.LogLevel;
  readonly linesPerS: number;
}

/** Writes decisions. */
export class DecisionWriter implements DecisionLog {
  readonly #log: bunyan;
  #lines: string[] = [];
  #windowAt = 0;
  #inWindow = 0;
  #dropped = 0;
  #isScheduled = false;

  constructor(
    private readonly options: DecisionWriterOptions,
    private readonly clock: Clock,
  ) {
    this.#log = bunyan.createLogger({
      name: "briartide",
      level: options.level,
      entry: options.entry,
      zone: options.zone,
      streams: [{
        type: "stream",
        stream: { write: (line: string) => this.#gather(line) } as never,
      }],
    });
  }

  decision(event: string, fields: DecisionFields): void {
    const now = this.clock.now();
    if (now - this.#windowAt >= secondMs) this.#openWindow(now);
    if (this.#inWindow >= this.options.linesPerS) {
      this.#dropped++;
      return;
    }
    this.#inWindow++;
    this.#log.info(fields, event);
  }

  /** Writes what has been gathered. */
  flush(): void {
    this.#isScheduled = false;
    if (this.#lines.length === 0) return;
    const text = this.#lines.join("");
    this.#lines = [];
    if (process.stdout.writableLength > maxWaitingBytes) {
      this.#dropped += Buffer.byteLength(text) > 0 ? 1 : 0;
      return;
    }
    process.stdout.write(text);
  }

  #openWindow(now: number): void {
    this.#windowAt = now;
    this.#inWindow = 0;
    if (this.#dropped === 0) return;
    const dropped = this.#dropped;
    this.#dropped = 0;
    this.#log.warn({ dropped }, "lines-dropped");
  }

  #gather(line: string): void {
    this.#lines.push(line);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.clock.after(gatherMs, () => this.flush());
  }
}
