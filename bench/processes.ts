/** Child processes of the benchmarks. */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";

/** A started program and the JSON of its first line. */
export interface StartedProgram {
  readonly child: ChildProcess;
  readonly firstLine: unknown;
}

const children = new Set<ChildProcess>();

/** Ends every program that `startProgram` has started. */
export function stopPrograms(): void {
  for (const child of children) child.kill("SIGKILL");
  children.clear();
}

/** Starts a bundle and waits for its first line. */
export async function startProgram(
  program: string,
  args: readonly string[],
): Promise<StartedProgram> {
  const child = spawn(process.execPath, [program, ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  children.add(child);
  if (child.stdout === null) throw new Error(`${program} has no output`);
  for await (const line of createInterface({ input: child.stdout })) {
    child.stdout.resume();
    return { child, firstLine: JSON.parse(line) };
  }
  throw new Error(`${program} ended early`);
}
