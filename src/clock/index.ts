/** Sources of time, random numbers and ids, and timeouts of calls. */
export {
  abortAfterResponsive,
  afterResponsive,
  type CallTimeout,
} from "./call_timeout.ts";
export {
  type Clock,
  delay,
  IdSource,
  newIncarnation,
  type Random,
  systemClock,
} from "./clock.ts";
