/** The entries of a play, as processes with the command of the deploy file. */
import { type ChildProcess, spawn } from "node:child_process";
import {
  closeSync,
  existsSync,
  openSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { parse as parseToml } from "smol-toml";
import * as v from "valibot";
import { entryCores, entryCoreShare } from "./bounds.ts";
import { Throttle } from "./throttle.ts";

/** The file that tells how entries are built and started. */
const deployFile = "deploy/system.toml";

/** Ports of an entry; each one has a loopback address of its own. */
const callerPort = 8624;
const readyPort = 8622;

/** Time for which a readiness check waits for an answer, in ms. */
const readyTimeoutMs = 800;

const deploySchema = v.object({
  roles: v.object({
    entry: v.object({ run: v.string(), template: v.string() }),
  }),
});

/** How an entry is started. */
export interface EntryCommand {
  readonly program: string;
  readonly args: readonly string[];
  /** Text of the settings template. */
  readonly template: string;
}

/** Reads the deploy file; throws if it or the build is missing. */
export function readEntryCommand(): EntryCommand {
  const deploy = v.parse(
    deploySchema,
    parseToml(readFileSync(deployFile, "utf8")),
  );
  const { run, template } = deploy.roles.entry;
  const [program, ...args] = run.split(" ");
  const bundle = args.find((arg) => arg.endsWith(".cjs"));
  if (bundle !== undefined && !existsSync(bundle)) {
    throw new Error(
      `${bundle} is missing; build it with node scripts/build_deploy.mjs`,
    );
  }
  return { program, args, template: readFileSync(template, "utf8") };
}

/** Value of a template field; `a.b` names the field b of the field a. */
function fieldOf(fields: unknown, name: string): unknown {
  let value = fields;
  for (const part of name.split(".")) {
    if (typeof value !== "object" || value === null) return undefined;
    value = Reflect.get(value, part);
  }
  return value;
}

/** Fills a template with fields, as the platform does. */
export function renderTemplate(template: string, fields: object): string {
  const withSections = template.replace(
    /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs,
    (_, name, text) => fieldOf(fields, name) === undefined ? "" : text,
  );
  return withSections.replace(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_, name, json) => {
      const value = fieldOf(fields, name) ?? "";
      return json ? JSON.stringify(value) : String(value);
    },
  );
}

/** Who an entry is, and where its platform is. */
export interface EntryPlan {
  readonly name: string;
  readonly zone: string;
  /** Loopback address of the entry, without a port. */
  readonly ip: string;
  readonly storeAddress: string;
  readonly cloudAddress: string;
}

/** One entry: its process, which may be killed and started again. */
export class EntryProcess {
  readonly logFile: string;
  readonly #settingsFile: string;
  #child: ChildProcess | undefined;
  readonly #throttle: Throttle;

  /** Writes the settings and the log to files in `dir`. */
  constructor(
    readonly plan: EntryPlan,
    private readonly command: EntryCommand,
    dir: string,
    /** Share of the time in which the process may run, in percent. */
    coreShare: number,
    /** Called when the process ends without having been killed by this object. */
    private readonly onOwnEnd: (entry: string, how: string) => void,
  ) {
    this.#throttle = new Throttle(
      coreShare,
      (signal) => this.#child?.kill(signal),
    );
    this.logFile = join(dir, `${plan.name}.log`);
    this.#settingsFile = join(dir, `${plan.name}.toml`);
    const { name, zone, ip, storeAddress, cloudAddress } = plan;
    const fields = {
      node: name,
      zone,
      ip,
      limits: { cores: entryCores, cpuShare: entryCoreShare },
      listen: {
        front: `${ip}:${callerPort}`,
        ready: `${ip}:${readyPort}`,
      },
      platform: { addr: storeAddress },
      cloud: { addr: cloudAddress },
      hint: "",
    };
    writeFileSync(this.#settingsFile, renderTemplate(command.template, fields));
  }

  /** Address for callers. */
  get address(): string {
    return `${this.plan.ip}:${callerPort}`;
  }

  /** Starts the process. */
  start(): void {
    const { PATH, HOME } = process.env;
    const log = openSync(this.logFile, "a");
    const child = spawn(this.command.program, this.command.args, {
      env: { PATH, HOME, BRIARTIDE_CONFIG: this.#settingsFile },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.#child = child;
    child.once("error", (err) => this.#noteEnd(child, err.message));
    child.once("exit", (code, signal) => {
      this.#noteEnd(child, `code ${code}, signal ${signal}`);
    });
  }

  /** Gives the process its share of the time from now on. */
  throttle(): void {
    this.#throttle.start();
  }

  /** Ends the pauses of the process. */
  unthrottle(): void {
    this.#throttle.stop();
  }

  /** Kills the process, if it runs, and resolves when it has ended. */
  async kill(): Promise<void> {
    const child = this.#child;
    this.#child = undefined;
    if (child === undefined || child.pid === undefined) return;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
  }

  /** Kills the process without waiting for its end. */
  killNow(): void {
    this.#child?.kill("SIGKILL");
    this.#child = undefined;
  }

  /** Whether the entry says that it is ready. */
  async isReady(): Promise<boolean> {
    try {
      const res = await fetch(`http://${this.plan.ip}:${readyPort}/-/ready`, {
        signal: AbortSignal.timeout(readyTimeoutMs),
      });
      return res.status === 200;
    } catch {
      return false;
    }
  }

  #noteEnd(child: ChildProcess, how: string): void {
    if (this.#child !== child) return;
    this.#child = undefined;
    this.onOwnEnd(this.plan.name, how);
  }
}
