/** Metrics of an entry, sent to a StatsD server if the settings name one. */
import { StatsD } from "hot-shots";
import type { EndedRequest } from "../caller/index.ts";
import type { ClientLimit } from "../connection_budget/index.ts";
import { splitAddress } from "../peers/index.ts";
import type { Settings } from "../settings/index.ts";

/** Values of gauges, sent at intervals under their keys. */
export interface StatsdGauges {
  readonly tableVersion: number;
  readonly peers: number;
  readonly inFlight: number;
  readonly openRequests: number;
  readonly clientConnections: number;
  readonly clientHeldBytes: number;
  readonly jobs: number;
  readonly retries: number;
  readonly retriesSuppressed: number;
  readonly lateFrames: number;
  readonly peerBytesOut: number;
  readonly platformReads: number;
  readonly platformCommits: number;
}

/** Sends metrics. */
export interface StatsdMetrics {
  /** Counts a finished request and records its duration. */
  request(end: EndedRequest): void;
  /** Counts an invalid frame from a peer. */
  badFrame(): void;
  /** Counts that a client met a limit. */
  clientLimit(limit: ClientLimit): void;
  /** Sends the values of the gauges. */
  gauges(values: StatsdGauges): void;
  /** Closes the socket. */
  close(): void;
}

/** Discards everything. */
const disabledMetrics: StatsdMetrics = {
  request() {},
  badFrame() {},
  clientLimit() {},
  gauges() {},
  close() {},
};

/** Creates the metrics; without a server in the settings they do nothing. */
export function createStatsdMetrics(settings: Settings): StatsdMetrics {
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
    clientLimit(limit) {
      client.increment("client_limits", 1, { limit });
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
