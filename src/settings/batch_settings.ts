/** Settings of an entry that runs batch jobs. */
import * as v from "valibot";
import type { Result } from "ts-results";
import type { Failure } from "../errors/index.ts";
import {
  address,
  id,
  loadWith,
  parseWith,
  section,
  whole,
} from "./settings.ts";

const positive = v.optional(
  v.pipe(v.number("a number"), v.gtValue(0, "above 0")),
  1,
);

const optionalAddress = v.optional(
  v.union([v.literal(""), address], "an address or nothing"),
  "",
);

export const batchSettingsSchema = v.strictObject({
  entry: v.strictObject({
    id,
    zone: id,
    /** Cores of the host. */
    cores: positive,
    /** Share of each core that the process may use. */
    core_share: positive,
  }, section),
  listen: v.strictObject({
    /** Where callers submit jobs. */
    callers: address,
    /** Where the balancer asks whether callers should come. */
    ready: address,
    /** Where metrics can be read; off without it. */
    metrics: optionalAddress,
  }, section),
  store: v.strictObject({ address }, section),
  hosts: v.strictObject({
    /** Where hosts are listed, moved and taken down. */
    address,
  }, section),
  placement: v.strictObject({
    /** Where advice on endpoints is given; off without it. */
    advice: optionalAddress,
  }, section),
  log: v.optional(
    v.strictObject({
      level: v.optional(
        v.picklist(["debug", "info", "warn", "error"], "a level"),
        "info",
      ),
      /** Most lines a second; more are counted and dropped. */
      lines_per_s: whole(1, 100_000, 500),
    }, section),
    {},
  ),
});

/** Settings of an entry that runs batch jobs. */
export type BatchSettings = v.InferOutput<typeof batchSettingsSchema>;

/** Reads and checks a settings file. */
export function loadBatchSettings(
  file: string,
): Result<BatchSettings, Failure> {
  return loadWith(batchSettingsSchema, file);
}

/**
 * Whether a file holds settings of an entry that runs batch jobs: only they
 * name a row store. False for a file that can't be read.
 */
export function isBatchSettings(file: string): boolean {
  const section = v.object({ store: v.unknown() });
  return loadWith(section, file).ok;
}

/** Parses and checks a settings text. */
export function parseBatchSettings(
  text: string,
): Result<BatchSettings, Failure> {
  return parseWith(batchSettingsSchema, text);
}
