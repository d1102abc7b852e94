/**
 * The runs of tasks: orders that start and stop them, their ends, and their
 * supervision.
 */
export { checkAvailability, isStartingUp } from "./availability.ts";
export { computePaceChanges } from "./filler_pace.ts";
export { type OrphanRun, OrphanRuns } from "./orphan_runs.ts";
export { RunIndex } from "./run_index.ts";
export { RunOrders } from "./run_orders.ts";
export { RunRecorder } from "./run_recorder.ts";
export { RunSupervisor, type SupervisorDriver } from "./run_supervisor.ts";
export { RunTimes } from "./run_times.ts";
export { SettledStarts } from "./settled_starts.ts";
