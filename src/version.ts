/** The version of this build. */

interface BuildGlobals {
  /** Set by the bundler. */
  briartideVersion?: string;
}

/** Version as in package.json. */
export const version = (globalThis as BuildGlobals).briartideVersion ??
  "development";
