/** Commands `serve` and `check`. */
import process from "node:process";
import { Entry } from "../entry/index.ts";
import { describeError } from "../errors/index.ts";
import {
  isBatchSettings,
  loadBatchSettings,
  loadSettings,
} from "../settings/index.ts";
import {
  type Command,
  exitCodes,
  parseCommandArgs,
  print,
  reportFailure,
} from "./command.ts";

const settingsOption = { settings: { type: "string" } } as const;

/** Loads the settings file that the arguments name. */
function readSettings(args: readonly string[]) {
  const parsed = parseCommandArgs({ args: [...args], options: settingsOption });
  if (parsed.err) return parsed;
  return loadSettings(parsed.val.values.settings ?? "briartide.toml");
}

/** Like `readSettings`, but also accepts the settings of a batch entry. */
function checkSettings(args: readonly string[]) {
  const parsed = parseCommandArgs({ args: [...args], options: settingsOption });
  if (parsed.err) return parsed;
  const file = parsed.val.values.settings ?? "briartide.toml";
  return isBatchSettings(file) ? loadBatchSettings(file) : loadSettings(file);
}

/** Runs an entry until SIGTERM or SIGINT; then waits for work in flight. */
export const serveCommand: Command = {
  name: "serve",
  summary: "run an entry host",
  help: `Usage: briartide serve --settings FILE

Runs an entry host until SIGTERM or SIGINT, then waits until the work in
flight has finished. Logs are JSON lines on standard output.`,
  async run(args) {
    const settings = readSettings(args);
    if (settings.err) return reportFailure(settings.val);
    const entry = new Entry(settings.val);
    const stopped = new Promise<void>((resolve) => {
      const stop = () => entry.shutdown().then(resolve);
      process.once("SIGTERM", stop);
      process.once("SIGINT", stop);
    });
    try {
      await entry.start();
    } catch (err) {
      process.stderr.write(`error: ${describeError(err)}\n`);
      return exitCodes.failed;
    }
    await stopped;
    return exitCodes.ok;
  },
};

/** Validates a settings file. */
export const checkCommand: Command = {
  name: "check",
  summary: "check a settings file",
  help: `Usage: briartide check --settings FILE

Prints every invalid setting with its key, its value and the allowed values.
Exits with 2 if there is one.`,
  run(args) {
    const settings = checkSettings(args);
    if (settings.err) return Promise.resolve(reportFailure(settings.val));
    print("the settings are valid");
    return Promise.resolve(exitCodes.ok);
  },
};
