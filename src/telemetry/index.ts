/** Logs and metrics of entries. */
export type { DecisionFields, DecisionLog } from "./decision_log.ts";
export { ClientLimitRecorder } from "./client_limits.ts";
export { createLog, type Log, logRequest } from "./log.ts";
export {
  createStatsdMetrics,
  type StatsdGauges,
  type StatsdMetrics,
} from "./statsd_metrics.ts";
export {
  DecisionWriter,
  type DecisionWriterOptions,
  type LineOutput,
} from "./decision_writer.ts";
export {
  CountingDecisionLog,
  meterStore,
  type PrometheusGauges,
  PrometheusMetrics,
} from "./prometheus_metrics.ts";
