/** Sources of time, random numbers and ids. */
export {
  type Clock,
  delay,
  IdSource,
  newIncarnation,
  type Random,
  systemClock,
} from "./clock.ts";
