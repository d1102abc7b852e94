/** Maintenance waves and moves of hosts. */
export * from "./host_control.ts";
export * from "./rows.ts";
export {
  isWaveComplete,
  planWave,
  type Wave,
  type WaveProgress,
  type WaveSteps,
  type WaveView,
} from "./wave_plan.ts";
export { type WaveBoard, WaveKeeper, type WaveParts } from "./wave_keeper.ts";
