/** The process of one entry. */
export { Entry } from "./entry.ts";
export type { CoreDependencies, EntryEvents } from "./core_dependencies.ts";
export { EntryCore } from "./entry_core.ts";
export { defaultMechanisms, type Mechanisms } from "./mechanisms.ts";
export { PauseGuard } from "./pause_guard.ts";
export { ownedHosts } from "./ownership.ts";
