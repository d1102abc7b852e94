/**
 * Settings of an entry that `briartide serve` runs: a TOML file checked by a
 * schema. Keys that end in `_ms` are in milliseconds.
 */
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import { defaultConnectionLimits as defaults } from "../connection_budget/index.ts";
import {
  codes,
  describeError,
  fail,
  type Failure,
  type Issue,
} from "../errors/index.ts";

/**
 * Most memory held for clients, in bytes. Requests have larger bodies than
 * those of a batch entry, and are held until their answers are sent.
 */
const defaultHeldBytes = 64 * 1024 * 1024;

/** Message for an invalid address. */
export const addressRule = "an IP address and a port, such as 127.0.0.1:8080";

/** Schema of an address: an IPv4 or bracketed IPv6 address and a port. */
export const addressSchema = v.pipe(
  v.string(addressRule),
  v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, addressRule),
);

/** Message for an invalid id. */
export const idRule = "1 to 48 of a-z, 0-9 and -";

/** Schema of an id. */
export const idSchema = v.pipe(
  v.string(idRule),
  v.regex(/^[a-z0-9-]{1,48}$/, idRule),
);

const tokenRule = "at least 16 characters";
const tokenSchema = v.pipe(v.string(tokenRule), v.minLength(16, tokenRule));

/** Schema of an integer from `min` to `max`; `fallback` if it is absent. */
export function integerSetting(min: number, max: number, fallback: number) {
  const allowed = `a whole number from ${min} to ${max}`;
  const schema = v.pipe(
    v.number(allowed),
    v.integer(allowed),
    v.minValue(min, allowed),
    v.maxValue(max, allowed),
  );
  return v.optional(schema, fallback);
}

/** Message for an unknown key. */
const unknownKeyRule = "no such key";

/** Message for a value where a section is required. */
export const sectionRule = "a section";

/** Schema of an entry's settings. */
export const settingsSchema = v.strictObject({
  entry: v.strictObject({ id: idSchema, zone: idSchema }, sectionRule),
  caller: v.strictObject({ address: addressSchema }, sectionRule),
  operator: v.strictObject(
    { address: addressSchema, token: tokenSchema },
    sectionRule,
  ),
  peer: v.strictObject({
    address: addressSchema,
    token: tokenSchema,
    /** Initial peer addresses; others are learned from registrations. */
    seeds: v.optional(v.array(addressSchema), []),
    /** Addresses to connect to in place of others, for networks with NAT. */
    dial: v.optional(v.record(v.string(), addressSchema), {}),
  }, sectionRule),
  platform: v.strictObject({
    /** Base URL of the platform's services. */
    url: v.pipe(v.string("an http URL"), v.url("an http URL")),
    /** Timeout of one call. */
    call_timeout_ms: integerSetting(10, 60_000, 1_500),
    /** Timeout of a transaction including its repeats. */
    commit_timeout_ms: integerSetting(10, 600_000, 4_000),
    /** How far the platform's list of hosts may be out of date. */
    list_lag_ms: integerSetting(0, 3_600_000, 10_000),
  }, sectionRule),
  limits: v.optional(
    v.strictObject({
      /** Largest size of a request's headers. */
      header_bytes: integerSetting(1_024, 1_048_576, 16_384),
      /** Largest size of a request's body. */
      body_bytes: integerSetting(1, 1_048_576, 1_048_576),
      /** Timeout for receiving a request. */
      request_ms: integerSetting(100, 600_000, 15_000),
      /** Most open connections of callers. */
      connections: integerSetting(1, 100_000, defaults.connections),
      /** Most requests on a connection without a complete response. */
      requests_ahead: integerSetting(1, 10_000, defaults.requestsAhead),
      /** Most memory held for callers and operators, in bytes. */
      held_bytes: integerSetting(1_048_576, 2 ** 40, defaultHeldBytes),
      /** Longest wait for requests in flight during shutdown. */
      shutdown_ms: integerSetting(0, 3_600_000, 30_000),
    }, sectionRule),
    {},
  ),
  timing: v.optional(
    v.strictObject({
      /** Interval between heartbeats to peers. */
      heartbeat_ms: integerSetting(20, 10_000, 250),
      /** Time without a frame after which a link to a peer is closed. */
      silence_ms: integerSetting(50, 60_000, 1_500),
      /** Time from the loss of a peer's link until its hosts are taken over. */
      takeover_ms: integerSetting(0, 60_000, 1_000),
      /** Interval between polls of the table and between controller rounds. */
      poll_ms: integerSetting(20, 60_000, 1_000),
      /** Gap between monotonic clock checks that counts as a process pause. */
      pause_ms: integerSetting(100, 60_000, 1_000),
      /** Duration of the controller's lease. */
      lease_ms: integerSetting(200, 600_000, 6_000),
      /** Longest time for a host to return after a reboot is ordered. */
      boot_ms: integerSetting(100, 7_200_000, 900_000),
      /** Time after which the jobs of an entry that is gone are recovered. */
      orphan_ms: integerSetting(100, 600_000, 5_000),
      /** Shortest time that a host stays in a pool after a move. */
      min_stay_ms: integerSetting(0, 3_600_000, 10_000),
    }, sectionRule),
    {},
  ),
  moves: v.optional(
    v.strictObject({
      /** Whether hosts are moved between pools automatically. */
      enabled: v.optional(v.boolean("true or false"), true),
    }, sectionRule),
    {},
  ),
  log: v.optional(
    v.strictObject({
      level: v.optional(
        v.picklist(
          ["debug", "info", "warn", "error"],
          "debug, info, warn or error",
        ),
        "info",
      ),
      /** Which requests are logged. */
      requests: v.optional(
        v.picklist(["all", "failed", "none"], "all, failed or none"),
        "failed",
      ),
    }, sectionRule),
    {},
  ),
  metrics: v.optional(
    v.strictObject({
      /** Address of a StatsD server; metrics are off if it is absent. */
      statsd: v.optional(addressSchema),
      /** Prefix of the names of metrics. */
      prefix: v.optional(v.string("a string"), "briartide."),
    }, sectionRule),
    {},
  ),
});

/** Settings of an entry, with defaults filled in. */
export type Settings = v.InferOutput<typeof settingsSchema>;

/**
 * Reads and checks a settings file. Fails with `settingsUnreadable`, or with
 * `settingsInvalid` and an issue for every invalid value.
 */
export function loadSettings(file: string): Result<Settings, Failure> {
  return loadWithSchema(settingsSchema, file);
}

/** Parses and checks the text of a settings file, as `loadSettings` does. */
export function parseSettings(text: string): Result<Settings, Failure> {
  return parseWithSchema(settingsSchema, text);
}

/** Reads a TOML file and checks it by a schema, as `loadSettings` does. */
export function loadWithSchema<T extends v.GenericSchema>(
  schema: T,
  file: string,
): Result<v.InferOutput<T>, Failure> {
  try {
    return parseWithSchema(schema, readFileSync(file, "utf8"));
  } catch (err) {
    return fail(codes.settingsUnreadable, describeError(err));
  }
}

/** Parses TOML text and checks it by a schema, as `loadSettings` does. */
export function parseWithSchema<T extends v.GenericSchema>(
  schema: T,
  text: string,
): Result<v.InferOutput<T>, Failure> {
  let data: unknown;
  try {
    data = parse(text);
  } catch (err) {
    return fail(
      codes.settingsUnreadable,
      `invalid TOML: ${describeError(err)}`,
    );
  }
  const parsed = v.safeParse(schema, data);
  if (parsed.success) return Ok(parsed.output);
  return fail(codes.settingsInvalid, "the settings do not match the schema", {
    issues: parsed.issues.map(toIssue),
  });
}

/** Keys whose values are never shown. */
const secretKeyPattern = /token$/;

function toIssue(issue: v.BaseIssue<unknown>): Issue {
  const key = v.getDotPath(issue) ?? "settings";
  const isUnknownKey = issue.type === "strict_object" &&
    issue.expected === "never";
  const given = issue.input === undefined
    ? "missing"
    : JSON.stringify(issue.input);
  return {
    key,
    value: secretKeyPattern.test(key) ? "(hidden)" : given,
    allowed: isUnknownKey ? unknownKeyRule : issue.message,
  };
}
