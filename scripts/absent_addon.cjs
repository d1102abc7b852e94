/**
 * Stands for native add-ons that are not bundled: the libraries that ask for
 * them catch the error and go on with their JavaScript.
 */
throw new Error("native add-ons are not part of the bundle");
