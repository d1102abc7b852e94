/** Bundles the command line for deployment into target/. */
import { build } from "esbuild";
import { readFileSync } from "node:fs";
import { bundleOptions } from "./esbuild_options.mjs";

const version = JSON.parse(readFileSync("package.json", "utf8")).version;

await build({
  entryPoints: { briartide: "platform/main.ts" },
  outdir: "target",
  define: { "globalThis.briartideVersion": JSON.stringify(version) },
  ...bundleOptions,
});
