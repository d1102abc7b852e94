/** The fleet state of an entry, and the events that change it. */
export {
  applyFleetEvent,
  emptyFleet,
  epochSum,
  type FleetEffect,
  type FleetEvent,
  type FleetState,
  type FleetTransition,
  servingHosts,
} from "./fleet_state.ts";
