/** Starts and stops the child processes of the benchmarks. */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";

/** A running program and the parsed JSON of its first output line. */
export interface StartedProgram {
  readonly child: ChildProcess;
  readonly firstLine: unknown;
}

const children = new Set<ChildProcess>();

/** Kills every program that `startProgram` started. */
export function stopPrograms(): void {
  for (const child of children) child.kill("SIGKILL");
  children.clear();
}

/**
 * Starts a bundled program and waits for its first output line. Throws if the
 * program exits before it prints one.
 */
export async function startProgram(
  program: string,
  args: readonly string[],
): Promise<StartedProgram> {
  const child = spawn(process.execPath, [program, ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  children.add(child);
  if (child.stdout === null) throw new Error(`${program} has no stdout`);
  for await (const line of createInterface({ input: child.stdout })) {
    child.stdout.resume();
    return { child, firstLine: JSON.parse(line) };
  }
  throw new Error(`${program} exited before it printed a line`);
}
