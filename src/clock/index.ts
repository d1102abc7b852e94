/** Time, random numbers, and identifiers. */
export {
  type Clock,
  delay,
  IdSource,
  newIncarnation,
  type Random,
  systemClock,
} from "./clock.ts";
