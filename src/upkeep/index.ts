/** Maintenance waves and moves of hosts. */
export { FleetOwner, type FleetParts } from "./fleet_owner.ts";
export * from "./host_control.ts";
export {
  type HostMove,
  planSizes,
  type PoolDemand,
  poolDemandSchema,
  type SizeView,
} from "./pool_sizes.ts";
export * from "./rows.ts";
export { giveOrders } from "./move_orders.ts";
export { VacateBook } from "./vacate_book.ts";
export {
  isWaveComplete,
  neededParallel,
  planWave,
  type Wave,
  type WaveProgress,
  type WaveSteps,
  type WaveView,
} from "./wave_plan.ts";
export { type WaveBoard, WaveRunner } from "./wave_runner.ts";
