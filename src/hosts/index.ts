/** Host rows and their transitions, owners, registrations, and health. */
export {
  finishDrain,
  type Host,
  hostKey,
  hostKeyPrefix,
  hostSchema,
  type HostState,
  isServing,
  markLeaving,
  returnToService,
  startDrain,
  startMaintenance,
} from "./host.ts";
export { applyHosts, type HostMap, type HostUpdate } from "./host_map.ts";
export { type OwnerCandidate, ownerOf, rankOwners } from "./owners.ts";
export {
  addEntry,
  changeRegistration,
  isRegistered,
  type RegisteredEntry,
  type Registration,
  registrationKey,
  registrationKeyPrefix,
  registrationSchema,
  removeEntry,
} from "./registration.ts";
export {
  type Health,
  initialHealth,
  markEjected,
  recordOutcome,
  usableSlots,
} from "./health.ts";
