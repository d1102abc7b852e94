/**
 * Replaces native add-ons that are not bundled. Libraries that require them
 * catch the error and use their JavaScript implementation.
 */
throw new Error("native add-ons are not part of the bundle");
