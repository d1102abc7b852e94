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

export const addressText = "an IP address and a port, such as 127.0.0.1:8080";
export const address = v.pipe(
  v.string(addressText),
  v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, addressText),
);
export const idText = "1 to 48 of a-z, 0-9 and -";
export const id = v.pipe(
  v.string(idText),
  v.regex(/^[a-z0-9-]{1,48}$/, idText),
);
const tokenText = "at least 16 characters";
const token = v.pipe(v.string(tokenText), v.minLength(16, tokenText));

export function whole(min: number, max: number, fallback: number) {
  const allowed = `a whole number from ${min} to ${max}`;
  const schema = v.pipe(
    v.number(allowed),
    v.integer(allowed),
    v.minValue(min, allowed),
    v.maxValue(max, allowed),
  );
  return v.optional(schema, fallback);
}

const unexpected = "no such key";
export const section = "a section";

export const settingsSchema = v.strictObject({
  entry: v.strictObject({ id, zone: id }, section),
  caller: v.strictObject({ address }, section),
  operator: v.strictObject({ address, token }, section),
  peer: v.strictObject({
    address,
    token,
    /** Peer addresses to begin with; others are learned from the table. */
    seeds: v.optional(v.array(address), []),
    /** Addresses to dial in place of others, for translated networks. */
    dial: v.optional(v.record(v.string(), address), {}),
  }, section),
  platform: v.strictObject({
    url: v.pipe(v.string("an http URL"), v.url("an http URL")),
    call_timeout_ms: whole(10, 60_000, 1_500),
    commit_timeout_ms: whole(10, 600_000, 4_000),
    /** Stated lag of the list of hosts. */
    list_lag_ms: whole(0, 3_600_000, 10_000),
  }, section),
  limits: v.optional(
    v.strictObject({
      header_bytes: whole(1_024, 1_048_576, 16_384),
      body_bytes: whole(1, 1_048_576, 1_048_576),
      request_ms: whole(100, 600_000, 15_000),
      connections: whole(1, 100_000, 4_096),
      shutdown_ms: whole(0, 3_600_000, 30_000),
    }, section),
    {},
  ),
  timing: v.optional(
    v.strictObject({
      heartbeat_ms: whole(20, 10_000, 250),
      silence_ms: whole(50, 60_000, 1_500),
      takeover_ms: whole(0, 60_000, 1_000),
      poll_ms: whole(20, 60_000, 1_000),
      pause_ms: whole(100, 60_000, 1_000),
      lease_ms: whole(200, 600_000, 6_000),
      boot_ms: whole(100, 7_200_000, 900_000),
      orphan_ms: whole(100, 600_000, 5_000),
      min_stay_ms: whole(0, 3_600_000, 10_000),
    }, section),
    {},
  ),
  moves: v.optional(
    v.strictObject({
      enabled: v.optional(v.boolean("true or false"), true),
    }, section),
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
    }, section),
    {},
  ),
  metrics: v.optional(
    v.strictObject({
      /** Address of a StatsD server; metrics are off without it. */
      statsd: v.optional(address),
      prefix: v.optional(v.string("a text"), "briartide."),
    }, section),
    {},
  ),
});

export type Settings = v.InferOutput<typeof settingsSchema>;

/**
 * Reads and checks a settings file. Fails with `settingsUnreadable`, or with
 * `settingsInvalid` and every broken rule at once.
 */
export function loadSettings(file: string): Result<Settings, Failure> {
  return loadWith(settingsSchema, file);
}

/** Parses and checks a settings text. Fails as `loadSettings` does. */
export function parseSettings(text: string): Result<Settings, Failure> {
  return parseWith(settingsSchema, text);
}

/** Reads and checks a settings file by any schema. */
export function loadWith<T extends v.GenericSchema>(
  schema: T,
  file: string,
): Result<v.InferOutput<T>, Failure> {
  try {
    return parseWith(schema, readFileSync(file, "utf8"));
  } catch (err) {
    return fail(codes.settingsUnreadable, describeError(err));
  }
}

/** Parses and checks a settings text by any schema. */
export function parseWith<T extends v.GenericSchema>(
  schema: T,
  text: string,
): Result<v.InferOutput<T>, Failure> {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (err) {
    return fail(codes.settingsUnreadable, `TOML: ${describeError(err)}`);
  }
  const parsed = v.safeParse(schema, raw);
  if (parsed.success) return Ok(parsed.output);
  return fail(codes.settingsInvalid, "the settings break the schema", {
    issues: parsed.issues.map(toIssue),
  });
}

const secretKeys = /token$/;

function toIssue(issue: v.BaseIssue<unknown>): Issue {
  const key = v.getDotPath(issue) ?? "settings";
  const strict = issue.type === "strict_object" && issue.expected === "never";
  const given = issue.input === undefined
    ? "missing"
    : JSON.stringify(issue.input);
  return {
    key,
    value: secretKeys.test(key) ? "(hidden)" : given,
    allowed: strict ? unexpected : issue.message,
  };
}
