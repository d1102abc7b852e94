/** Checks whether fuzzing detects that safety mechanisms are disabled. */
import type { Mechanisms } from "../../src/entry/index.ts";
import type { Mutation } from "./mutations.ts";
import type { FuzzReport } from "./simulate.ts";

/** Result of a proof. */
export interface ProofReport {
  /** Names of the mutations that no sequence detected. */
  readonly undetected: readonly string[];
  /** Exit code of the process. */
  readonly exitCode: number;
}

/**
 * Fuzzes each mutation in turn with `fuzzWith` and passes the lines of the
 * report to `print`.
 */
export async function proveMutations(
  mutations: readonly Mutation[],
  fuzzWith: (mechanisms: Mechanisms) => Promise<FuzzReport>,
  print: (line: string) => void,
): Promise<ProofReport> {
  const undetected: string[] = [];
  for (const { name, mechanisms } of mutations) {
    const report = await fuzzWith(mechanisms);
    if (report.violations === undefined) {
      undetected.push(name);
      print(`UNDETECTED  without ${name}`);
      continue;
    }
    print(`detected    without ${name}: ${report.violations[0]}`);
    print(`  ${JSON.stringify(report.steps)}`);
  }
  return { undetected, exitCode: undetected.length > 0 ? 1 : 0 };
}
