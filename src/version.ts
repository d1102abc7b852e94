/** Version of this build. */

interface BuildGlobals {
  /** Defined by the bundler. */
  briartideVersion?: string;
}

/** The version in package.json; `development` when the code is not bundled. */
export const version = (globalThis as BuildGlobals).briartideVersion ??
  "development";
