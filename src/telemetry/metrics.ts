/** Metrics to a StatsD server; off unless the settings name one. */
import { StatsD } from "hot-shots";
import type { RequestEnd } from "../caller/index.ts";
import { splitAddress } from "../peers/index.ts";
import type { Settings } from "../settings/index.ts";

/** Values that are reported at intervals. */
export interface Gauges {
  readonly tableVersion: number;
  readonly peers: number;
  readonly inFlight: number;
  readonly openRequests: number;
  readonly jobs: number;
  readonly retries: number;
  readonly retriesSuppressed: number;
  readonly lateFrames: number;
  readonly peerBytesOut: number;
  readonly platformReads: number;
  readonly platformCommits: number;
}

/** Receives measurements. */
export interface Metrics {
  request(end: RequestEnd): void;
  badFrame(): void;
  gauges(values: Gauges): void;
  close(): void;
}

const disabledMetrics: Metrics = {
  request() {},
  badFrame() {},
  gauges() {},
  close() {},
};

/** Creates the metrics that the settings ask for. */
export function createMetrics(settings: Settings): Metrics {
  const { statsd, prefix } = settings.metrics;
  if (statsd === undefined) return disabledMetrics;
  const [host, port] = splitAddress(statsd);
  const client = new StatsD({
    host,
    port,
    prefix,
    globalTags: { entry: settings.entry.id, zone: settings.entry.zone },
    errorHandler: () => {},
  });
  return {
    request(end) {
      const tags = { class: end.class || "none", code: String(end.code.code) };
      client.increment("requests", 1, tags);
      client.timing("request_ms", end.ms, tags);
    },
    badFrame() {
      client.increment("bad_frames");
    },
    gauges(values) {
      for (const [name, value] of Object.entries(values)) {
        client.gauge(name, value);
      }
    },
    close() {
      client.close(() => {});
    },
  };
}
