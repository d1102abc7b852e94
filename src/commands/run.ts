/** Finds the subcommand that the command line names, and runs it. */
import process from "node:process";
import { type Command, exitCodes } from "./command.ts";
import { version } from "../version.ts";

/** Text that is printed without a subcommand and for `--help`. */
function usageText(commands: readonly Command[]): string {
  const width = Math.max(...commands.map((c) => c.name.length));
  const lines = commands.map((c) => `  ${c.name.padEnd(width)}  ${c.summary}`);
  return `Usage: briartide COMMAND [OPTIONS]

Commands:
${lines.join("\n")}

briartide COMMAND --help describes a command; --version prints the version.
Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 not in force.`;
}

/** Runs a subcommand or prints help; returns the exit code. */
async function runCommand(
  commands: readonly Command[],
  args: readonly string[],
): Promise<number> {
  const [name, ...rest] = args;
  const command = commands.find((c) => c.name === name);
  if (args.includes("--version")) {
    process.stdout.write(`briartide ${version}\n`);
    return exitCodes.ok;
  }
  if (command === undefined) {
    const helpRequested = name === undefined || name === "--help" ||
      name === "help";
    const stream = helpRequested ? process.stdout : process.stderr;
    stream.write(`${usageText(commands)}\n`);
    return helpRequested ? exitCodes.ok : exitCodes.invalid;
  }
  if (rest.includes("--help")) {
    process.stdout.write(`${command.help}\n`);
    return exitCodes.ok;
  }
  return await command.run(rest);
}

/**
 * Runs the subcommand that the process was started with, and sets the exit
 * code.
 */
export function runCommandLine(commands: readonly Command[]): void {
  runCommand(commands, process.argv.slice(2)).then((code) => {
    process.exitCode = code;
    if (code !== exitCodes.ok) return;
    // Idle connections of the HTTP client would delay the exit.
    process.exit(code);
  });
}
