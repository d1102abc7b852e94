/** Actors with supervised crashes. */
export { type Actor, ActorSystem, type CrashHandler } from "./actors.ts";
