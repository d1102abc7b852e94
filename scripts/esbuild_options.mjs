/** Options of every bundle: one CommonJS file for Node. */
export const bundleOptions = {
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  mainFields: ["module", "main"],
  /** The main file of ts-results needs another package. */
  alias: { "ts-results": "./node_modules/ts-results/esm/index.js" },
  /** Native add-ons that have a fallback in JavaScript. */
  external: ["cbor-extract", "unix-dgram", "dtrace-provider"],
  logLevel: "warning",
};
