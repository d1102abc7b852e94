/**
 * Decisions as JSON lines on standard output.
 *
 * Lines are gathered and written together; above the limit they are dropped
 * and counted, so that logging costs a bounded share of the processor. Lines
 * about single tasks and requests leave a part of the limit to the others, so
 * that a surge does not hide a change of owner.
 */
import process from "node:process";
import bunyan from "bunyan";
import type { Clock } from "../clock/index.ts";
import type { DecisionFields, DecisionLog } from "../scheduler/index.ts";

/** Time for which lines are gathered, in ms. */
const flushDelayMs = 50;

/** Bytes that may wait for a slow reader; further lines are dropped. */
const maxBufferedBytes = 1_048_576;

const windowMs = 1_000;

/** Share of the limit that lines about single tasks and requests may take. */
const highVolumeShare = 0.8;

/** Events of which there are several for each task or request. */
const highVolumeEvents: ReadonlySet<string> = new Set([
  "task-placed",
  "task-ended",
  "job-taken",
  "job-put-off",
  "caller-answered",
  "run-over",
]);

/** Who writes, and how much at most. */
export interface DecisionWriterOptions {
  readonly entry: string;
  readonly zone: string;
  readonly level: bunyan.LogLevel;
  readonly linesPerS: number;
}

/** Where the lines go. */
export interface LineOutput {
  /** Bytes that its reader has not taken yet. */
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Writes decisions. */
export class DecisionWriter implements DecisionLog {
  readonly #log: bunyan;
  #lines: string[] = [];
  #windowStart = 0;
  #linesInWindow = 0;
  #dropped = 0;
  #isFlushScheduled = false;
  #linesPerS: number;

  constructor(
    options: DecisionWriterOptions,
    private readonly clock: Clock,
    private readonly output: LineOutput = process.stdout,
  ) {
    this.#linesPerS = options.linesPerS;
    this.#log = bunyan.createLogger({
      name: "briartide",
      level: options.level,
      entry: options.entry,
      zone: options.zone,
      streams: [{
        type: "stream",
        stream: { write: (line: string) => this.#bufferLine(line) } as never,
      }],
    });
  }

  decision(event: string, fields: DecisionFields): void {
    const now = this.clock.now();
    if (now - this.#windowStart >= windowMs) this.#startWindow(now);
    const share = highVolumeEvents.has(event) ? highVolumeShare : 1;
    if (this.#linesInWindow >= this.#linesPerS * share) {
      this.#dropped++;
      return;
    }
    this.#linesInWindow++;
    this.#log.info(fields, event);
  }

  /** Changes the level and the limit. */
  configure(
    { level, linesPerS }: Pick<DecisionWriterOptions, "level" | "linesPerS">,
  ): void {
    this.#log.level(level);
    this.#linesPerS = linesPerS;
  }

  /** Writes what has been gathered. */
  flush(): void {
    this.#isFlushScheduled = false;
    const lines = this.#lines;
    if (lines.length === 0) return;
    this.#lines = [];
    if (this.output.writableLength > maxBufferedBytes) {
      this.#dropped += lines.length;
      return;
    }
    this.output.write(lines.join(""));
  }

  #startWindow(now: number): void {
    this.#windowStart = now;
    this.#linesInWindow = 0;
    if (this.#dropped === 0) return;
    const dropped = this.#dropped;
    this.#dropped = 0;
    this.#log.warn({ dropped }, "lines-dropped");
  }

  #bufferLine(line: string): void {
    this.#lines.push(line);
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    this.clock.after(flushDelayMs, () => this.flush());
  }
}
