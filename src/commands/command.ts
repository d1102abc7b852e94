/** The shape of a subcommand, and what all of them share. */
import process from "node:process";
import { parseArgs, type ParseArgsConfig } from "node:util";
import { Ok, type Result } from "ts-results";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";
import { OperatorClient } from "../operator/index.ts";
import { loadSettings } from "../settings/index.ts";

/** Exit codes of the command line. */
export const exitCodes = {
  ok: 0,
  /** The operation was refused or failed. */
  failed: 1,
  /** The arguments, the settings, or an edited table are malformed. */
  invalid: 2,
  /** Another edit was faster. */
  conflict: 3,
  /** Committed, but not confirmed by every reachable entry in time. */
  notInForce: 4,
} as const;

/** A subcommand of the binary. */
export interface Command {
  readonly name: string;
  /** One line for the list of commands. */
  readonly summary: string;
  /** Full help text. */
  readonly help: string;
  /** Runs the command and returns the exit code. */
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

/** Options of every command that calls an entry. */
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

/** Parses arguments. Fails with `badCommand`. */
export function parseCommand<T extends ParseArgsConfig>(
  config: T,
): Result<ReturnType<typeof parseArgs<T>>, Failure> {
  try {
    return Ok(parseArgs(config));
  } catch (err) {
    return fail(codes.badCommand, describeError(err));
  }
}

/** Connects to the entry that the options name. */
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
      "name an entry with --entry and --token, or with --settings",
    );
  }
  return Ok(new OperatorClient({ address, token, who }));
}

/** Prints rows as aligned columns, or as JSON. */
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

/** Does the work of a command that calls an entry. */
export type ClientAction<V> = (
  client: OperatorClient,
  args: readonly string[],
  values: V,
) => Promise<Result<void, Failure>>;

/** Builds a command that calls an entry. */
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
      const parsed = parseCommand({
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
