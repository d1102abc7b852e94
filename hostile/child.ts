/**
 * The program as a process with a small heap, and what the kernel tells of its
 * memory and descriptors.
 */
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

/** Address on which entries listen. */
export const host = "127.0.0.1";

/** V8's limits, far below those of the deployment, in MiB. */
const heapFlags = ["--max-old-space-size=64", "--max-semi-space-size=4"];

/** Longest time until an entry is ready, also beside load, in ms. */
const startMs = 20_000;

const pollMs = 50;

/** Bytes at the end of a log that a failed test shows. */
const shownLogBytes = 2_000;

/** Builds the program; returns its folder. */
export function buildProgram(): string {
  const folder = mkdtempSync(join(tmpdir(), "briartide-hostile-"));
  execFileSync(process.execPath, ["scripts/build_deploy.mjs", folder]);
  return folder;
}

/** Returns some ports that were free a moment ago. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise<Server>((resolve) => {
        const server = createServer();
        server.listen(0, host, () => resolve(server));
      })),
  );
  const ports = servers.map((server) => {
    const address = server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  });
  for (const server of servers) server.close();
  return ports;
}

/** One run of the program with a settings file. */
export class Child {
  readonly #folder = mkdtempSync(join(tmpdir(), "briartide-hostile-"));
  readonly #logFile = join(this.#folder, "entry.log");
  #child: ChildProcess | undefined;

  /** Runs a command of the program in `programFolder` with these settings. */
  start(programFolder: string, command: string, settings: string): void {
    const file = join(this.#folder, "settings.toml");
    writeFileSync(file, settings);
    const program = join(programFolder, "briartide.cjs");
    const args = [...heapFlags, program, command, "--settings", file];
    const log = openSync(this.#logFile, "a");
    this.#child = spawn(process.execPath, args, {
      stdio: ["ignore", log, log],
    });
    closeSync(log);
  }

  /** Resolves once `test` holds; rejects if that takes too long. */
  async until(test: () => Promise<boolean>): Promise<void> {
    const deadline = Date.now() + startMs;
    while (!await test()) {
      if (!this.isAlive || Date.now() > deadline) throw new Error(this.logTail);
      await new Promise((resolve) => setTimeout(resolve, pollMs));
    }
  }

  /** Kills the process and resolves when it has ended. */
  async stop(): Promise<void> {
    const child = this.#child;
    if (child !== undefined && this.isAlive) {
      const ended = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGKILL");
      await ended;
    }
    rmSync(this.#folder, { recursive: true });
  }

  /** Whether the process has not ended. */
  get isAlive(): boolean {
    const child = this.#child;
    return child !== undefined && child.exitCode === null &&
      child.signalCode === null;
  }

  /** Highest resident memory that the process has had, in MiB. */
  get peakMemoryMib(): number {
    const status = readFileSync(`/proc/${this.#child?.pid}/status`, "utf8");
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / 1_024;
  }

  /** Number of descriptors that the process has open. */
  get descriptorCount(): number {
    return readdirSync(`/proc/${this.#child?.pid}/fd`).length;
  }

  /** The end of the log. */
  get logTail(): string {
    return readFileSync(this.#logFile, "utf8").slice(-shownLogBytes);
  }
}
