const absentAddon = "./scripts/absent_addon.cjs";

/** Options of every bundle: one CommonJS file for Node. */
export const bundleOptions = {
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  mainFields: ["module", "main"],
  alias: {
    // The main file of ts-results needs another package.
    "ts-results": "./node_modules/ts-results/esm/index.js",
    "cbor-extract": absentAddon,
    "dtrace-provider": absentAddon,
    "unix-dgram": absentAddon,
  },
  logLevel: "warning",
};
