/** Budgets, drains, ejections, waves, moves of hosts, and the controller. */
export {
  availableHosts,
  budgetKey,
  budgetKeyPrefix,
  type BudgetRow,
  budgetRowSchema,
  checkBudget,
  type PoolView,
} from "./budget.ts";
export {
  type DrainDependencies,
  drainHost,
  type DrainRequest,
  maxDecisionAgeMs,
} from "./drain.ts";
export { ejectFromPool, reinstateInPool } from "./ejection.ts";
export { Lease, type LeaseOptions } from "./lease.ts";
export {
  commandWave,
  planWave,
  updateWaveState,
  type Wave,
  type WaveAction,
  waveActions,
  type WaveCommand,
  waveKey,
  waveKeyPrefix,
  waveSchema,
  type WaveStep,
  withHostStep,
} from "./wave.ts";
export {
  type MoveInputs,
  nextMove,
  type PoolMove,
  type PoolTotals,
} from "./moves.ts";
export {
  type Confirmer,
  Controller,
  type ControllerDependencies,
  type ControllerSettings,
} from "./controller.ts";
