/**
 * Bundles the command line and the development programs with esbuild, and
 * builds the command line as a Node.js single executable application (SEA).
 *
 * Options: `--bundle-only` skips the executable; `--if-missing` does nothing if
 * the bundle of the command line exists.
 */
import { build } from "esbuild";
import { chmodSync, copyFileSync, existsSync, readFileSync } from "node:fs";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { execFileSync } from "node:child_process";
import process from "node:process";
import { bundleOptions } from "./esbuild_options.mjs";

const outDir = "dist";
const programs = {
  briartide: "platform/main.ts",
  platform: "fakes/platform_main.ts",
  endpoints: "fakes/endpoints_main.ts",
  stack: "fakes/stack_main.ts",
  demo: "fakes/demo_main.ts",
  soak: "fakes/soak_main.ts",
  batch_soak: "soak/main.ts",
  fuzz: "test/fuzz/run.ts",
  proof: "test/fuzz/proof.ts",
  embed: "examples/embed.ts",
  steps: "features/steps.ts",
  bench: "bench/main.ts",
  bare_relay: "bench/bare_relay.ts",
  quick_endpoint: "bench/quick_endpoint.ts",
};
/** Marks where postject injects the blob; defined by Node.js. */
const seaSentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

const executable = `${outDir}/briartide`;
const flags = new Set(process.argv.slice(2));
const version = JSON.parse(readFileSync("package.json", "utf8")).version;

/** Bundles all programs whose source files exist. */
async function bundlePrograms() {
  mkdirSync(outDir, { recursive: true });
  const present = Object.entries(programs).filter(([, f]) => existsSync(f));
  await build({
    entryPoints: Object.fromEntries(present),
    outdir: outDir,
    define: { "globalThis.briartideVersion": JSON.stringify(version) },
    ...bundleOptions,
    external: ["@cucumber/cucumber"],
  });
}

/** Injects the bundle of the command line into a copy of the Node.js binary. */
function buildExecutable() {
  const seaConfig = `${outDir}/sea.json`;
  const blob = `${outDir}/sea.blob`;
  const main = `${outDir}/briartide.cjs`;
  const settings = { main, output: blob, disableExperimentalSEAWarning: true };
  writeFileSync(seaConfig, JSON.stringify(settings));
  execFileSync(process.execPath, ["--experimental-sea-config", seaConfig], {
    stdio: "ignore",
  });
  copyFileSync(process.execPath, executable);
  chmodSync(executable, 0o755);
  execFileSync("node_modules/.bin/postject", [
    executable,
    "NODE_SEA_BLOB",
    blob,
    "--sentinel-fuse",
    seaSentinelFuse,
  ], { stdio: "ignore" });
}

const isBuilt = existsSync(`${outDir}/briartide.cjs`);
if (!(flags.has("--if-missing") && isBuilt)) {
  // The stack prefers the executable, so an old one would hide the new bundle.
  rmSync(executable, { force: true });
  await bundlePrograms();
  if (!flags.has("--bundle-only")) buildExecutable();
}
