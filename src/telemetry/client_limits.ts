/** Metrics and log lines of the limits that clients meet. */
import type { Clock } from "../clock/index.ts";
import {
  type ClientLimit,
  type LimitEvents,
  LimitSummarizer,
} from "../connection_budget/index.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { PrometheusMetrics } from "./prometheus_metrics.ts";

/** Counts all occurrences of limits, and logs a summary of them. */
export class ClientLimitRecorder implements LimitEvents {
  readonly #summarizer: LimitSummarizer;

  constructor(
    private readonly metrics: PrometheusMetrics,
    log: DecisionLog,
    clock: Pick<Clock, "after">,
  ) {
    this.#summarizer = new LimitSummarizer(
      clock,
      (summary) => log.decision("client-limit-met", { ...summary }),
    );
  }

  onLimit(limit: ClientLimit, address: string): void {
    this.metrics.recordClientLimit(limit);
    this.#summarizer.onLimit(limit, address);
  }
}
