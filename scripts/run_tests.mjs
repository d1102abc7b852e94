/**
 * Bundles every `*_test.ts` file under test/ and runs the bundles with the test
 * runner of Node.js. If arguments are given, it runs only these files.
 */
import { build } from "esbuild";
import { readdirSync, rmSync } from "node:fs";
import { spawnSync } from "node:child_process";
import process from "node:process";
import { bundleOptions } from "./esbuild_options.mjs";

const outDir = "dist/test";
const named = process.argv.slice(2);
const files = named.length > 0
  ? named
  : readdirSync("test", { recursive: true })
    .filter((f) => f.endsWith("_test.ts")).sort().map((f) => `test/${f}`);

rmSync(outDir, { recursive: true, force: true });
await build({
  entryPoints: files,
  outdir: outDir,
  outbase: "test",
  ...bundleOptions,
});
const built = readdirSync(outDir, { recursive: true })
  .filter((f) => f.endsWith("_test.cjs")).map((f) => `${outDir}/${f}`);
const run = spawnSync(process.execPath, ["--test", ...built], {
  stdio: "inherit",
});
process.exit(run.status ?? 1);
