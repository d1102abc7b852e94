/** Settings of an entry that runs batch jobs. */
import * as v from "valibot";
import type { Result } from "ts-results";
import type { Failure } from "../errors/index.ts";
import {
  addressSchema,
  idSchema,
  integerSetting,
  loadWithSchema,
  parseWithSchema,
  sectionRule,
} from "./settings.ts";

const positiveNumber = v.optional(
  v.pipe(v.number("a number"), v.gtValue(0, "above 0")),
  1,
);

const optionalAddress = v.optional(
  v.union([v.literal(""), addressSchema], "an address or nothing"),
  "",
);

export const batchSettingsSchema = v.strictObject({
  entry: v.strictObject({
    id: idSchema,
    zone: idSchema,
    /** Cores of the host. */
    cores: positiveNumber,
    /** Share of each core that the process may use. */
    core_share: positiveNumber,
  }, sectionRule),
  listen: v.strictObject({
    /** Where callers submit jobs. */
    callers: addressSchema,
    /** Where the balancer asks whether callers should come. */
    ready: addressSchema,
    /** Where metrics can be read; off without it. */
    metrics: optionalAddress,
  }, sectionRule),
  store: v.strictObject({ address: addressSchema }, sectionRule),
  hosts: v.strictObject({
    /** Where hosts are listed, moved and taken down. */
    address: addressSchema,
  }, sectionRule),
  placement: v.strictObject({
    /** Where advice on endpoints is given; off without it. */
    advice: optionalAddress,
  }, sectionRule),
  log: v.optional(
    v.strictObject({
      level: v.optional(
        v.picklist(["debug", "info", "warn", "error"], "a level"),
        "info",
      ),
      /** Most lines a second; more are counted and dropped. */
      lines_per_s: integerSetting(1, 100_000, 500),
    }, sectionRule),
    {},
  ),
});

/** Settings of an entry that runs batch jobs. */
export type BatchSettings = v.InferOutput<typeof batchSettingsSchema>;

/** Reads and checks a settings file. */
export function loadBatchSettings(
  file: string,
): Result<BatchSettings, Failure> {
  return loadWithSchema(batchSettingsSchema, file);
}

/**
 * Whether a file holds settings of an entry that runs batch jobs: only they
 * name a row store. False for a file that can't be read.
 */
export function isBatchSettings(file: string): boolean {
  const batchMarkerSchema = v.object({ store: v.unknown() });
  return loadWithSchema(batchMarkerSchema, file).ok;
}

/** Parses and checks a settings text. */
export function parseBatchSettings(
  text: string,
): Result<BatchSettings, Failure> {
  return parseWithSchema(batchSettingsSchema, text);
}
