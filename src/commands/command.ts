/** The interface of a subcommand, and helpers that subcommands share. */
import process from "node:process";
import { parseArgs, type ParseArgsConfig } from "node:util";
import { Ok, type Result } from "ts-results";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";
import { OperatorClient } from "../operator/index.ts";
import { loadSettings } from "../settings/index.ts";

/** Exit codes of the command line. */
export const exitCodes = {
  /** The operation succeeded. */
  ok: 0,
  /** The operation was refused or failed. */
  failed: 1,
  /** The arguments, the settings or an edited table are invalid. */
  invalid: 2,
  /** A row was changed by another edit in the meantime. */
  conflict: 3,
  /** The edit is committed, but some reachable entry did not confirm it. */
  notInForce: 4,
} as const;

/** A subcommand of the `briartide` binary. */
export interface Command {
  readonly name: string;
  /** One-line description for the list of commands. */
  readonly summary: string;
  /** Text that `--help` prints. */
  readonly help: string;
  /** Runs the command with its arguments and returns the exit code. */
  run(args: readonly string[]): Promise<number>;
}

/** Writes a line to standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Writes a failure to standard error and returns its exit code. */
export function reportFailure(failure: Failure): number {
  const { code, message, issues, conflicts } = failure;
  process.stderr.write(`error ${code.code} ${code.name}: ${message}\n`);
  for (const issue of issues ?? []) {
    const { key, value, allowed } = issue;
    process.stderr.write(`  ${key}: got ${value}, allowed: ${allowed}\n`);
  }
  for (const conflict of conflicts ?? []) {
    const { row, yours, theirs, theirVersion } = conflict;
    process.stderr.write(`  ${row}\n`);
    process.stderr.write(`    yours:  ${JSON.stringify(yours)}\n`);
    const text = JSON.stringify(theirs);
    process.stderr.write(`    theirs: ${text} (row version ${theirVersion})\n`);
  }
  return exitCodeOf(failure);
}

/** Returns the exit code for a failure. */
function exitCodeOf({ code }: Failure): number {
  if (code === codes.editConflict) return exitCodes.conflict;
  if (code === codes.notInForce) return exitCodes.notInForce;
  const invalid = [
    codes.badCommand,
    codes.tableInvalid,
    codes.settingsInvalid,
    codes.settingsUnreadable,
  ];
  return invalid.some((c) => c === code) ? exitCodes.invalid : exitCodes.failed;
}

/** Options of all commands that call an entry. */
export const clientOptions = {
  entry: { type: "string" },
  token: { type: "string" },
  settings: { type: "string" },
  as: { type: "string" },
  json: { type: "boolean", default: false },
} as const satisfies ParseArgsConfig["options"];

/** Help text of `clientOptions`. */
export const clientHelp = `Options:
  --entry ADDRESS   operator address of any entry (or BRIARTIDE_ENTRY)
  --token TOKEN     operator token (or BRIARTIDE_TOKEN)
  --settings FILE   take address and token from an entry's settings
  --as NAME         name for the audit trail (or USER)
  --json            print JSON`;

/** Values of `clientOptions`. */
export interface ClientOptionValues {
  readonly entry?: string;
  readonly token?: string;
  readonly settings?: string;
  readonly as?: string;
  readonly json?: boolean;
}

/** Parses command line arguments. Fails with `badCommand`. */
export function parseCommandArgs<T extends ParseArgsConfig>(
  config: T,
): Result<ReturnType<typeof parseArgs<T>>, Failure> {
  try {
    return Ok(parseArgs(config));
  } catch (err) {
    return fail(codes.badCommand, describeError(err));
  }
}

/**
 * Creates a client for the entry that the options or the environment specify.
 * Fails with `badCommand` if neither does, or as `loadSettings` does.
 */
export function connectClient(
  values: ClientOptionValues,
): Result<OperatorClient, Failure> {
  const who = values.as ?? process.env.USER ?? "operator";
  if (values.settings !== undefined) {
    const settings = loadSettings(values.settings);
    if (settings.err) return settings;
    const { address, token } = settings.val.operator;
    return Ok(new OperatorClient({ address, token, who }));
  }
  const address = values.entry ?? process.env.BRIARTIDE_ENTRY;
  const token = values.token ?? process.env.BRIARTIDE_TOKEN;
  if (address === undefined || token === undefined) {
    return fail(
      codes.badCommand,
      "specify an entry with --entry and --token, or with --settings",
    );
  }
  return Ok(new OperatorClient({ address, token, who }));
}

/** Prints a header and rows as aligned columns; absent values print as `-`. */
export function printTable(
  columns: readonly string[],
  rows: readonly (readonly (string | number | boolean | null | undefined)[])[],
): void {
  const cells = [columns, ...rows].map((row) =>
    row.map((cell) => cell === null || cell === undefined ? "-" : String(cell))
  );
  const widths = columns.map((_, i) =>
    Math.max(...cells.map((row) => row[i].length))
  );
  for (const row of cells) {
    print(row.map((cell, i) => cell.padEnd(widths[i])).join("  ").trimEnd());
  }
}

/** Implementation of a command that calls an entry. */
export type ClientAction<V> = (
  client: OperatorClient,
  args: readonly string[],
  values: V,
) => Promise<Result<void, Failure>>;

/** Defines a command that calls an entry. */
export function defineClientCommand<V extends ClientOptionValues>(
  name: string,
  summary: string,
  usage: string,
  options: NonNullable<ParseArgsConfig["options"]>,
  action: ClientAction<V>,
): Command {
  return {
    name,
    summary,
    help: `Usage: briartide ${usage}\n\n${clientHelp}`,
    async run(args) {
      const parsed = parseCommandArgs({
        args: [...args],
        options: { ...clientOptions, ...options },
        allowPositionals: true,
      });
      if (parsed.err) return reportFailure(parsed.val);
      const values = parsed.val.values as V;
      const client = connectClient(values);
      if (client.err) return reportFailure(client.val);
      const { positionals } = parsed.val;
      const result = await action(client.val, positionals, values);
      return result.err ? reportFailure(result.val) : exitCodes.ok;
    },
  };
}
