/** Actors that report errors and continue. */
export { type Actor, ActorSystem, type CrashHandler } from "./actors.ts";
