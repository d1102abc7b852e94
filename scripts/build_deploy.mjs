/** Bundles the command line for deployment into target/, or the folder given. */
import { build } from "esbuild";
import { readFileSync } from "node:fs";
import process from "node:process";
import { bundleOptions } from "./esbuild_options.mjs";

const version = JSON.parse(readFileSync("package.json", "utf8")).version;

await build({
  entryPoints: { briartide: "platform/main.ts" },
  outdir: process.argv[2] ?? "target",
  define: { "globalThis.briartideVersion": JSON.stringify(version) },
  ...bundleOptions,
});
