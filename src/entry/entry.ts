/**
 * The process of one entry: an `EntryCore` with its HTTP clients, its peer
 * links, and its caller and operator ports, built from the settings.
 */
import { type EndedRequest, RequestServer } from "../caller/index.ts";
import { newIncarnation, systemClock } from "../clock/index.ts";
import {
  ConnectionBudget,
  LimitSummarizer,
} from "../connection_budget/index.ts";
import { HttpEndpointClient } from "../endpoint/index.ts";
import { codes, describeError, type ResultCode } from "../errors/index.ts";
import { type EntryStatus, OperatorApi } from "../operator/index.ts";
import { Mesh, splitAddress } from "../peers/index.ts";
import { HttpPlatform } from "../platform/index.ts";
import type { Settings } from "../settings/index.ts";
import {
  createLog,
  createStatsdMetrics,
  type Log,
  logRequest,
  type StatsdMetrics,
} from "../telemetry/index.ts";
import { EntryCore } from "./entry_core.ts";
import { defaultMechanisms } from "./mechanisms.ts";

/** Interval in ms between two reports of the gauges. */
const gaugeIntervalMs = 5_000;

/** Runs one entry. */
export class Entry {
  readonly #log: Log;
  readonly #metrics: StatsdMetrics;
  readonly #platform: HttpPlatform;
  readonly #endpoints = new HttpEndpointClient();
  readonly #budget: ConnectionBudget;
  readonly #mesh: Mesh;
  readonly #core: EntryCore;
  readonly #requestServer: RequestServer;
  readonly #operatorApi: OperatorApi;

  constructor(private readonly settings: Settings) {
    this.#log = createLog(settings);
    this.#metrics = createStatsdMetrics(settings);
    this.#platform = new HttpPlatform({
      url: settings.platform.url,
      zone: settings.entry.zone,
      callTimeoutMs: settings.platform.call_timeout_ms,
      commitTimeoutMs: settings.platform.commit_timeout_ms,
    });
    this.#budget = this.#buildBudget();
    const core = this.#buildCore();
    this.#core = core;
    this.#mesh = core.network as Mesh;
    this.#requestServer = this.#buildRequestServer(core);
    this.#operatorApi = this.#buildOperatorApi(core);
  }

  /** Starts the loops of the core and opens the caller and operator ports. */
  async start(): Promise<void> {
    const { caller, operator } = this.settings;
    await this.#core.start();
    await this.#requestServer.listen(...splitAddress(caller.address));
    await this.#operatorApi.listen(...splitAddress(operator.address));
    this.#core.startLoop("gauges", () => this.#reportGauges());
    this.#log.info("entry started");
  }

  /**
   * Shuts down gracefully: refuses new requests, gives up the owned hosts,
   * waits for work in flight up to `limits.shutdown_ms`, and deregisters.
   */
  async shutdown(): Promise<void> {
    if (this.#core.isShuttingDown) return;
    this.#log.info("shutting down");
    const timeoutMs = this.settings.limits.shutdown_ms;
    this.#core.beginShutdown();
    await this.#requestServer.close(timeoutMs);
    await this.#core.finishShutdown(timeoutMs);
    await this.#operatorApi.close();
    await this.#endpoints.close();
    await this.#platform.close();
    this.#metrics.close();
    this.#log.info("stopped");
  }

  #buildCore(): EntryCore {
    const { entry, peer, platform, timing, moves } = this.settings;
    const clock = systemClock;
    return new EntryCore({
      self: {
        entry: entry.id,
        incarnation: newIncarnation(clock, Math.random),
        zone: entry.zone,
        peer: peer.address,
      },
      token: peer.token,
      seeds: peer.seeds,
      platform: this.#platform,
      endpoints: this.#endpoints,
      createNetwork: (hello, events) =>
        new Mesh(
          {
            hello,
            address: peer.address,
            dial: peer.dial,
            heartbeatMs: timing.heartbeat_ms,
            silenceMs: timing.silence_ms,
          },
          clock,
          events,
        ),
      clock,
      random: Math.random,
      timing,
      listLagMs: platform.list_lag_ms,
      movesEnabled: moves.enabled,
      mechanisms: defaultMechanisms,
      events: {
        info: (message, fields = {}) => this.#log.info(fields, message),
        warn: (message, fields = {}) => this.#log.warn(fields, message),
        onActorFailed: (actor, err) => {
          this.#log.error({ actor, err: describeError(err) }, "actor failed");
        },
        onBadFrame: (from, message, code) => {
          this.#metrics.badFrame();
          this.#log.warn({ peer: from, code }, message);
        },
      },
    });
  }

  /** Builds the budget of the clients; limits are counted, and summarized. */
  #buildBudget(): ConnectionBudget {
    const summarizer = new LimitSummarizer(
      systemClock,
      (summary) => this.#log.warn({ ...summary }, "client limit met"),
    );
    return new ConnectionBudget(this.settings.limits.held_bytes, {
      onLimit: (limit, address) => {
        this.#metrics.clientLimit(limit);
        summarizer.onLimit(limit, address);
      },
    });
  }

  #buildRequestServer(core: EntryCore): RequestServer {
    const { limits } = this.settings;
    return new RequestServer({
      limits: {
        maxHeaderBytes: limits.header_bytes,
        maxBodyBytes: limits.body_bytes,
        requestTimeoutMs: limits.request_ms,
        maxConnections: limits.connections,
        maxRequestsAhead: limits.requests_ahead,
      },
      budget: this.#budget,
      admission: core.admission,
      executor: core.executor,
      jobs: core.jobs,
      jobStore: core.jobStore,
      ids: core.ids,
      clock: systemClock,
      table: () => core.table,
      liveEntryCount: () => core.network.members().length + 1,
      notReadyReason: () => this.#notReadyReason(),
      onRequestEnded: (end) => this.#recordRequestEnd(end),
    });
  }

  #buildOperatorApi(core: EntryCore): OperatorApi {
    const { entry, operator } = this.settings;
    return new OperatorApi({
      token: operator.token,
      entry: entry.id,
      zone: entry.zone,
      platform: this.#platform,
      endpoints: this.#endpoints,
      jobs: core.jobs,
      ids: core.ids,
      clock: systemClock,
      budget: this.#budget,
      fleetState: () => core.fleet.state,
      members: () => core.network.members(),
      applyEvent: (event) => core.fleet.send(event),
      status: () => this.#buildStatus(),
    });
  }

  /** The reason why this entry is not ready, or undefined when it is. */
  #notReadyReason(): ResultCode | undefined {
    if (this.#core.isShuttingDown) return codes.shuttingDown;
    return this.#core.table.version === 0 ? codes.notReady : undefined;
  }

  /** Counts and logs a request that has ended. */
  #recordRequestEnd(end: EndedRequest): void {
    this.#metrics.request(end);
    logRequest(this.#log, this.settings.log.requests, end);
  }

  #buildStatus(): EntryStatus {
    const core = this.#core;
    return {
      ready: this.#notReadyReason() === undefined,
      controller: core.operations.isController,
      ownedHosts: core.ownership.size,
      inFlight: core.scheduler.totalInFlight(),
      jobs: core.jobRunner.size,
      pauses: core.pauseGuard.pauseCount,
      retries: core.executor.counts.retries,
      platform: { ...this.#platform.callCounts },
      peers: { ...this.#mesh.traffic },
    };
  }

  #reportGauges(): Promise<number> {
    const core = this.#core;
    this.#metrics.gauges({
      tableVersion: core.table.version,
      peers: core.network.members().length,
      inFlight: core.scheduler.totalInFlight(),
      openRequests: this.#requestServer.openRequests,
      clientConnections: this.#budget.connectionCount,
      clientHeldBytes: this.#budget.heldBytes,
      jobs: core.jobRunner.size,
      retries: core.executor.counts.retries,
      retriesSuppressed: core.executor.counts.suppressed,
      lateFrames: core.slotClient.lateFrames,
      peerBytesOut: this.#mesh.traffic.bytesOut,
      platformReads: this.#platform.callCounts.readCalls,
      platformCommits: this.#platform.callCounts.commitCalls,
    });
    return Promise.resolve(gaugeIntervalMs);
  }
}
