/** Maintenance: budgets, drains, ejections, waves, moves, and the controller. */
export {
  availableHosts,
  budgetKey,
  budgetPrefix,
  type BudgetRow,
  budgetRowSchema,
  checkBudget,
  type PoolView,
} from "./budget.ts";
export {
  drainHost,
  type DrainOrder,
  type DrainParts,
  maxDecisionAgeMs,
} from "./drain.ts";
export { ejectFromPool, reinstateInPool } from "./ejection.ts";
export { Lease, type LeaseOptions } from "./lease.ts";
export {
  commandWave,
  planWave,
  reviewWave,
  setStep,
  type Wave,
  type WaveAction,
  waveActions,
  type WaveCommand,
  waveKey,
  wavePrefix,
  waveSchema,
  type WaveStep,
} from "./wave.ts";
export {
  type Move,
  type MoveView,
  nextMove,
  type PoolPressure,
} from "./moves.ts";
export {
  type Confirmer,
  Controller,
  type ControllerParts,
  type ControllerSettings,
} from "./controller.ts";
