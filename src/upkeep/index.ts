/** Host management by the batch entries: maintenance waves and pool moves. */
export { type FleetDependencies, FleetOwner } from "./fleet_owner.ts";
export * from "./host_control.ts";
export * from "./rows.ts";
export { sendInBatches } from "./order_batches.ts";
export { VacateTracker } from "./vacate_tracker.ts";
export {
  isWaveComplete,
  planWaveActions,
  type RequestedWave,
  requiredParallel,
  type WaveActions,
  type WaveProgress,
  type WaveView,
} from "./wave_plan.ts";
export { type WaveRequests, WaveRunner } from "./wave_runner.ts";
