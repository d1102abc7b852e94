/**
 * Decision log as JSON lines on standard output.
 *
 * Lines are buffered and written in batches. Above the rate limit they are
 * dropped and counted, which bounds the CPU time spent on logging. Lines about
 * single tasks and requests can't use the whole limit, so that a burst of them
 * does not displace lines such as a shard's change of owner.
 */
import process from "node:process";
import bunyan from "bunyan";
import type { Clock } from "../clock/index.ts";
import type { DecisionFields, DecisionLog } from "./decision_log.ts";

/** Longest time for which lines are buffered, in ms. */
const flushDelayMs = 50;

/** Unread bytes in the output's buffer above which lines are dropped. */
const maxBufferedBytes = 1_048_576;

/** Window over which lines are counted for the limit, in ms. */
const windowMs = 1_000;

/** Share of the limit that high-volume events may use. */
const highVolumeShare = 0.8;

/** Events that are logged for every task or request. */
const highVolumeEvents: ReadonlySet<string> = new Set([
  "task-placed",
  "task-ended",
  "job-taken",
  "job-put-off",
  "caller-answered",
  "run-over",
  "untracked-run-ended",
]);

/** Options of a `DecisionWriter`. */
export interface DecisionWriterOptions {
  /** Id of the entry, part of every line. */
  readonly entry: string;
  /** Availability zone of the entry, part of every line. */
  readonly zone: string;
  readonly level: bunyan.LogLevel;
  /** Most lines per second. */
  readonly linesPerS: number;
}

/** The stream that lines are written to. */
export interface LineOutput {
  /** Number of bytes that its reader has not consumed. */
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Writes decisions as JSON lines, up to a rate limit. */
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

  /** Changes the log level and the rate limit. */
  configure(
    { level, linesPerS }: Pick<DecisionWriterOptions, "level" | "linesPerS">,
  ): void {
    this.#log.level(level);
    this.#linesPerS = linesPerS;
  }

  /** Writes the buffered lines, or drops them if the reader is too slow. */
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
