/** Settings of an entry: a TOML file checked by a schema. */
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import {
  codes,
  describeError,
  fail,
  type Failure,
  type Issue,
} from "../errors/index.ts";

export const addressRule = "an IP address and a port, such as 127.0.0.1:8080";
export const addressSchema = v.pipe(
  v.string(addressRule),
  v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, addressRule),
);
export const idRule = "1 to 48 of a-z, 0-9 and -";
export const idSchema = v.pipe(
  v.string(idRule),
  v.regex(/^[a-z0-9-]{1,48}$/, idRule),
);
const tokenRule = "at least 16 characters";
const tokenSchema = v.pipe(v.string(tokenRule), v.minLength(16, tokenRule));

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

const unknownKeyRule = "no such key";
export const sectionRule = "a section";

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
    /** Peer addresses to begin with; others are learned from the table. */
    seeds: v.optional(v.array(addressSchema), []),
    /** Addresses to dial in place of others, for translated networks. */
    dial: v.optional(v.record(v.string(), addressSchema), {}),
  }, sectionRule),
  platform: v.strictObject({
    url: v.pipe(v.string("an http URL"), v.url("an http URL")),
    call_timeout_ms: integerSetting(10, 60_000, 1_500),
    commit_timeout_ms: integerSetting(10, 600_000, 4_000),
    /** Stated lag of the list of hosts. */
    list_lag_ms: integerSetting(0, 3_600_000, 10_000),
  }, sectionRule),
  limits: v.optional(
    v.strictObject({
      header_bytes: integerSetting(1_024, 1_048_576, 16_384),
      body_bytes: integerSetting(1, 1_048_576, 1_048_576),
      request_ms: integerSetting(100, 600_000, 15_000),
      connections: integerSetting(1, 100_000, 4_096),
      shutdown_ms: integerSetting(0, 3_600_000, 30_000),
    }, sectionRule),
    {},
  ),
  timing: v.optional(
    v.strictObject({
      heartbeat_ms: integerSetting(20, 10_000, 250),
      silence_ms: integerSetting(50, 60_000, 1_500),
      takeover_ms: integerSetting(0, 60_000, 1_000),
      poll_ms: integerSetting(20, 60_000, 1_000),
      pause_ms: integerSetting(100, 60_000, 1_000),
      lease_ms: integerSetting(200, 600_000, 6_000),
      boot_ms: integerSetting(100, 7_200_000, 900_000),
      orphan_ms: integerSetting(100, 600_000, 5_000),
      min_stay_ms: integerSetting(0, 3_600_000, 10_000),
    }, sectionRule),
    {},
  ),
  moves: v.optional(
    v.strictObject({
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
      requests: v.optional(
        v.picklist(["all", "failed", "none"], "all, failed or none"),
        "failed",
      ),
    }, sectionRule),
    {},
  ),
  metrics: v.optional(
    v.strictObject({
      /** Address of a StatsD server; metrics are off without it. */
      statsd: v.optional(addressSchema),
      prefix: v.optional(v.string("a text"), "briartide."),
    }, sectionRule),
    {},
  ),
});

export type Settings = v.InferOutput<typeof settingsSchema>;

/**
 * Reads and checks a settings file. Fails with `settingsUnreadable`, or with
 * `settingsInvalid` and every broken rule at once.
 */
export function loadSettings(file: string): Result<Settings, Failure> {
  return loadWithSchema(settingsSchema, file);
}

/** Parses and checks a settings text. Fails as `loadSettings` does. */
export function parseSettings(text: string): Result<Settings, Failure> {
  return parseWithSchema(settingsSchema, text);
}

/** Reads and checks a settings file by any schema. */
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

/** Parses and checks a settings text by any schema. */
export function parseWithSchema<T extends v.GenericSchema>(
  schema: T,
  text: string,
): Result<v.InferOutput<T>, Failure> {
  let data: unknown;
  try {
    data = parse(text);
  } catch (err) {
    return fail(codes.settingsUnreadable, `TOML: ${describeError(err)}`);
  }
  const parsed = v.safeParse(schema, data);
  if (parsed.success) return Ok(parsed.output);
  return fail(codes.settingsInvalid, "the settings break the schema", {
    issues: parsed.issues.map(toIssue),
  });
}

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
