/**
 * `npm run batch-soak -- --seed N --plays M`: plays days on which endpoints start
 * again under their ids and are cut off, with entries as real processes, and
 * judges TWICE and LOST. Exit code 0: no rule is broken; 1: a rule is broken; 2:
 * bad input, or the play could not be played.
 */
import process from "node:process";
import { describeError } from "../src/errors/index.ts";
import { type EntryCommand, readEntryCommand } from "./entry_process.ts";
import { countParts } from "./finding.ts";
import { parseOptions, type SoakOptions } from "./options.ts";
import { Play, type PlayResult } from "./play.ts";

/** Exit codes. */
const exitCodes = {
  held: 0,
  broken: 1,
  notPlayed: 2,
  interrupted: 130,
} as const;

/** Signals that end the soak. */
const endSignals = ["SIGINT", "SIGTERM", "SIGHUP"] as const;

/** The play that goes on; undefined between plays. */
let current: Play | undefined;

/** Writes a line on what goes on, beside the results. */
function tell(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Prints what a play has shown: its traces, and a line of counts as JSON. */
function printResult(result: PlayResult): void {
  const { findings, trace, ...counts } = result;
  for (const line of trace) process.stdout.write(`${line}\n`);
  const broken = countParts(findings);
  process.stdout.write(`${JSON.stringify({ ...counts, broken })}\n`);
}

/** Plays all seeds; returns the exit code. */
async function playAll(
  options: SoakOptions,
  command: EntryCommand,
): Promise<number> {
  let code: number = exitCodes.held;
  const { seed, plays } = options;
  for (let i = 0; i < plays; i++) {
    const play = new Play(seed + i, options, command, tell);
    current = play;
    try {
      const result = await play.run();
      printResult(result);
      if (result.findings.length > 0) code = exitCodes.broken;
    } finally {
      await play.stop();
      current = undefined;
    }
  }
  return code;
}

/**
 * Runs the soak with the words of its command line; returns the exit code. A
 * signal ends the process, with all that the soak has started.
 */
export async function runSoak(args: readonly string[]): Promise<number> {
  const options = parseOptions(args);
  if (options.err) {
    tell(`error: ${options.val}`);
    return exitCodes.notPlayed;
  }
  for (const signal of endSignals) {
    process.once(signal, () => {
      current?.abandon();
      process.exit(exitCodes.interrupted);
    });
  }
  try {
    return await playAll(options.val, readEntryCommand());
  } catch (err) {
    tell(`error: ${describeError(err)}`);
    return exitCodes.notPlayed;
  }
}
