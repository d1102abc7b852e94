/**
 * Tests how the soak of batch entries ends: with one line for bad input, and
 * without a process left behind at an interrupt.
 */
import assert from "node:assert/strict";
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { after, before, describe, it } from "node:test";
import { runSoak } from "../../soak/command.ts";

/** Variable that makes this file run the soak instead of the tests. */
const soakVariable = "BRIARTIDE_TEST_RUNS_SOAK";

/** Line of the soak once its entries run. */
const startedLine = "all entries are ready";

/** Number of entries of a play. */
const entryCount = 6;

/** Time in which processes that were killed are gone, in ms. */
const endMs = 5_000;

/** How the soak has ended. */
interface SoakEnd {
  readonly code: number | null;
  /** What it wrote to standard error. */
  readonly text: string;
}

/** Runs the soak in a folder. */
function startSoak(folder: string, args: readonly string[]): ChildProcess {
  return spawn(process.execPath, [process.argv[1], ...args], {
    cwd: folder,
    env: { ...process.env, [soakVariable]: "1" },
    stdio: ["ignore", "ignore", "pipe"],
  });
}

/** Resolves when a soak has ended; calls `onText` with all text so far. */
function endOf(
  child: ChildProcess,
  onText: (text: string) => void = () => {},
): Promise<SoakEnd> {
  let text = "";
  child.stderr?.on("data", (bytes) => {
    text += String(bytes);
    onText(text);
  });
  return new Promise((resolve) => {
    child.once("close", (code) => resolve({ code, text }));
  });
}

/** Ids of the processes that a process has started. */
function childrenOf(pid: number): readonly number[] {
  const file = `/proc/${pid}/task/${pid}/children`;
  return readFileSync(file, "utf8").split(" ").filter((id) => id !== "")
    .map(Number);
}

/** Whether a process runs; one that has ended but was not reaped does not. */
function isRunning(pid: number): boolean {
  try {
    return !/^\d+ \(.*\) [ZX]/.test(readFileSync(`/proc/${pid}/stat`, "utf8"));
  } catch {
    return false;
  }
}

if (process.env[soakVariable] !== undefined) {
  runSoak(process.argv.slice(2)).then((code) => process.exit(code));
} else {
  describe("the soak of batch entries", () => {
    let folder: string;

    before(() => {
      folder = mkdtempSync(join(tmpdir(), "briartide-"));
      cpSync("deploy", join(folder, "deploy"), { recursive: true });
    });

    after(() => rmSync(folder, { recursive: true }));

    describe("ends with code 2 and one line", () => {
      const cases: readonly (readonly [string, readonly string[], RegExp])[] = [
        ["an unknown flag", ["--minutes", "1"], /--minutes/],
        ["a seed that is no number", ["--seed", "x"], /--seed must be/],
        ["no plays", ["--plays", "0"], /--plays must be/],
        ["a missing build", [], /target\/briartide.cjs is missing/],
      ];
      for (const [what, args, line] of cases) {
        it(`for ${what}`, async () => {
          const { code, text } = await endOf(startSoak(folder, args));
          assert.equal(code, 2);
          assert.match(text, /^error: .*\n$/);
          assert.match(text, line);
        });
      }
    });

    it("leaves no process behind at an interrupt", async () => {
      const target = join(folder, "target");
      execFileSync(process.execPath, ["scripts/build_deploy.mjs", target]);
      const soak = startSoak(folder, ["--seed", "1"]);
      let entries: readonly number[] = [];
      const { code } = await endOf(soak, (text) => {
        if (!text.includes(startedLine) || entries.length > 0) return;
        entries = childrenOf(soak.pid ?? 0);
        soak.kill("SIGINT");
      });
      assert.equal(code, 130);
      assert.equal(entries.length, entryCount);
      const until = performance.now() + endMs;
      while (entries.some(isRunning) && performance.now() < until) {
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      assert.deepEqual(entries.filter(isRunning), []);
    });
  });
}
