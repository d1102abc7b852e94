/**
 * The public API: building blocks that work without the daemon, namely
 * versioned tables, host epochs, availability budgets, waves, at-most-once
 * jobs, the retry budget, and the scheduler.
 */
export {
  type Clock,
  IdSource,
  type Random,
  systemClock,
} from "./clock/index.ts";
export { codes, type Failure, type ResultCode } from "./errors/index.ts";
export {
  applyDelta,
  checkEdit,
  commitEdit,
  diffTables,
  type Edit,
  fromCsv,
  readTable,
  Table,
  type TableRow,
  toCsv,
} from "./table/index.ts";
export {
  applyHosts,
  finishDrain,
  type Host,
  ownerOf,
  returnToService,
  startDrain,
} from "./hosts/index.ts";
export {
  checkBudget,
  commandWave,
  drainHost,
  Lease,
  nextMove,
  planWave,
  type PoolView,
  type Wave,
  waveActions,
} from "./maintenance/index.ts";
export { JobRunner, JobService, JobStore } from "./jobs/index.ts";
export {
  RetryBudget,
  SlotScheduler as Scheduler,
  type Ticket,
} from "./pipeline/index.ts";
export type {
  Platform,
  PlatformTransaction as Transaction,
  TableService,
} from "./platform/index.ts";
