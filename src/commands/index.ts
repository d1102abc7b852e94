/** The subcommands of the binary. */
import type { Command } from "./command.ts";
import { fleetCommands } from "./fleet.ts";
import { checkCommand, serveCommand } from "./serve.ts";
import { tableCommand } from "./table.ts";
import { jobCommands } from "./jobs.ts";

export {
  type Command,
  exitCodes,
  parseCommand,
  print,
  reportFailure,
} from "./command.ts";
export { runCommandLine } from "./run.ts";

/** Every subcommand, in the order of the help text. */
export const commands: readonly Command[] = [
  serveCommand,
  checkCommand,
  tableCommand,
  ...fleetCommands,
  ...jobCommands,
];
