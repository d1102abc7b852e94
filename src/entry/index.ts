/** One entry host's process. */
export { Entry } from "./entry.ts";
export { PauseGuard } from "./pause_guard.ts";
export { candidatesOf } from "./ownership.ts";
