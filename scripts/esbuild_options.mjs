/** esbuild options of the bundles. */

const absentAddon = "./scripts/absent_addon.cjs";

/** Options shared by all bundles: each is one CommonJS file for Node.js. */
export const bundleOptions = {
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  mainFields: ["module", "main"],
  alias: {
    // The main file of ts-results requires an additional package.
    "ts-results": "./node_modules/ts-results/esm/index.js",
    "cbor-extract": absentAddon,
    "dtrace-provider": absentAddon,
    "unix-dgram": absentAddon,
  },
  logLevel: "warning",
};
