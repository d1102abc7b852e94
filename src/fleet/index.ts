/** An entry's knowledge of the fleet. */
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
