/** Settings of a batch entry: a TOML file checked by a schema. */
import * as v from "valibot";
import type { Result } from "ts-results";
import {
  type ConnectionLimits,
  defaultConnectionLimits as defaults,
} from "../connection_budget/index.ts";
import type { Failure } from "../errors/index.ts";
import {
  addressSchema,
  idSchema,
  integerSetting,
  loadWithSchema,
  parseWithSchema,
  sectionRule,
} from "./settings.ts";

/** A number above 0; 1 if absent. */
const positiveNumber = v.optional(
  v.pipe(v.number("a number"), v.gtValue(0, "a number above 0")),
  1,
);

/** An address, or an empty string for none. */
const optionalAddress = v.optional(
  v.union([v.literal(""), addressSchema], "an address or an empty string"),
  "",
);

/** Schema of a batch entry's settings. */
export const batchSettingsSchema = v.strictObject({
  entry: v.strictObject({
    id: idSchema,
    zone: idSchema,
    /** Number of cores of the host. */
    cores: positiveNumber,
    /** Share of each core that the process may use. */
    core_share: positiveNumber,
  }, sectionRule),
  listen: v.strictObject({
    /** Address of the server for callers. */
    callers: addressSchema,
    /** Address of the readiness check, for the load balancer. */
    ready: addressSchema,
    /** Address of the Prometheus metrics; empty turns them off. */
    metrics: optionalAddress,
  }, sectionRule),
  store: v.strictObject({ address: addressSchema }, sectionRule),
  hosts: v.strictObject({
    /** Address of the service that lists, moves and maintains hosts. */
    address: addressSchema,
  }, sectionRule),
  placement: v.strictObject({
    /** Address of the advice service; empty turns advice off. */
    advice: optionalAddress,
  }, sectionRule),
  capacity: v.optional(
    v.strictObject({
      /** Core-seconds of work on time that a ready core-second costs. */
      ready_price: v.optional(
        v.pipe(v.number("a number"), v.gtValue(0, "a number above 0")),
      ),
    }, sectionRule),
    {},
  ),
  callers: v.optional(
    v.strictObject({
      /** Most open connections. */
      connections: integerSetting(16, 100_000, defaults.connections),
      /** Most requests on a connection without a complete response. */
      requests_ahead: integerSetting(1, 10_000, defaults.requestsAhead),
      /** Most memory held for callers, in bytes. */
      held_bytes: integerSetting(1_048_576, 2 ** 40, defaults.heldBytes),
      /** Largest size of a request's headers, in bytes. */
      header_bytes: integerSetting(1_024, 1_048_576, defaults.headerBytes),
      /** Longest time to receive the headers of a request. */
      headers_ms: integerSetting(100, 600_000, defaults.headersMs),
      /** Longest time to receive a whole request. */
      request_ms: integerSetting(100, 600_000, defaults.requestMs),
      /** Time after which an idle connection is closed. */
      idle_ms: integerSetting(100, 3_600_000, defaults.idleMs),
      /** Time without any transfer after which a connection is closed. */
      stall_ms: integerSetting(1_000, 3_600_000, defaults.stallMs),
    }, sectionRule),
    {},
  ),
  log: v.optional(
    v.strictObject({
      level: v.optional(
        v.picklist(["debug", "info", "warn", "error"], "a level"),
        "info",
      ),
      /** Most log lines per second; further lines are counted and dropped. */
      lines_per_s: integerSetting(1, 100_000, 500),
    }, sectionRule),
    {},
  ),
});

/** Settings of a batch entry. */
export type BatchSettings = v.InferOutput<typeof batchSettingsSchema>;

/** Limits on what callers make an entry hold. */
export function connectionLimits(
  { callers }: Pick<BatchSettings, "callers">,
): ConnectionLimits {
  return {
    connections: callers.connections,
    requestsAhead: callers.requests_ahead,
    heldBytes: callers.held_bytes,
    headerBytes: callers.header_bytes,
    headersMs: callers.headers_ms,
    requestMs: callers.request_ms,
    idleMs: callers.idle_ms,
    stallMs: callers.stall_ms,
  };
}

/**
 * Reads and checks a settings file. Fails with `settingsUnreadable` or
 * `settingsInvalid`.
 */
export function loadBatchSettings(
  file: string,
): Result<BatchSettings, Failure> {
  return loadWithSchema(batchSettingsSchema, file);
}

/**
 * Returns whether a file holds settings of a batch entry, which are the only
 * ones with a `store` section. Returns false if the file can't be read.
 */
export function isBatchSettings(file: string): boolean {
  const batchMarkerSchema = v.object({ store: v.unknown() });
  return loadWithSchema(batchMarkerSchema, file).ok;
}

/**
 * Parses and checks the text of a settings file, as `loadBatchSettings` does.
 */
export function parseBatchSettings(
  text: string,
): Result<BatchSettings, Failure> {
  return parseWithSchema(batchSettingsSchema, text);
}
