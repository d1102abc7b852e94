/** The subcommands of the `briartide` binary. */
import type { Command } from "./command.ts";
import { fleetCommands } from "./fleet.ts";
import { checkCommand, serveCommand } from "./serve.ts";
import { tableCommand } from "./table.ts";
import { jobCommands } from "./jobs.ts";

export {
  type Command,
  exitCodes,
  parseCommandArgs,
  print,
  reportFailure,
} from "./command.ts";
export { runCommandLine } from "./run.ts";

/** Subcommands in the order in which the help text lists them. */
export const commands: readonly Command[] = [
  serveCommand,
  checkCommand,
  tableCommand,
  ...fleetCommands,
  ...jobCommands,
];
