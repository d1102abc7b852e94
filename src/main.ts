/** The command line: finds the subcommand and runs it. */
import process from "node:process";
import { type Command, commands, exitCodes } from "./commands/index.ts";
import { version } from "./version.ts";

function overview(): string {
  const width = Math.max(...commands.map((c) => c.name.length));
  const lines = commands.map((c) => `  ${c.name.padEnd(width)}  ${c.summary}`);
  return `Usage: briartide COMMAND [OPTIONS]

Commands:
${lines.join("\n")}

briartide COMMAND --help describes a command; --version prints the version.
Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 not in force.`;
}

async function main(args: readonly string[]): Promise<number> {
  const [name, ...rest] = args;
  const command = commands.find((c: Command) => c.name === name);
  if (args.includes("--version")) {
    process.stdout.write(`briartide ${version}\n`);
    return exitCodes.ok;
  }
  if (command === undefined) {
    const asked = name === undefined || name === "--help" || name === "help";
    const stream = asked ? process.stdout : process.stderr;
    stream.write(`${overview()}\n`);
    return asked ? exitCodes.ok : exitCodes.invalid;
  }
  if (rest.includes("--help")) {
    process.stdout.write(`${command.help}\n`);
    return exitCodes.ok;
  }
  return await command.run(rest);
}

main(process.argv.slice(2)).then((code) => {
  process.exitCode = code;
  if (code !== exitCodes.ok) return;
  // Idle connections of the HTTP client would delay the end of the process.
  process.exit(code);
});
