/**
 * Rows of the table `allowances`: for each limited workspace the amounts that
 * pools hold of its limit. All rows are in one partition, so that one
 * transaction can change those of several workspaces.
 */
import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";
import * as v from "valibot";
import { addResources, noResources, type Resources } from "../batch/index.ts";
import { parseJson, type StoreRowKey } from "../store/index.ts";

/** Table of the allowances. */
export const allowanceTable = "allowances";

/** Name of its only partition. */
export const allowancePartition = "allowances";

/** Longest name of a workspace that is a key as it is, in bytes. */
const maxPlainKeyBytes = 200;

const amountSchema = v.pipe(v.number(), v.minValue(0));

const amountsSchema = v.object({
  cpuMillis: amountSchema,
  memoryMb: amountSchema,
  gpus: amountSchema,
});

const holdingSchema = v.object({
  pool: v.string(),
  /** Term of the owner that has confirmed the holding last. */
  term: v.number(),
  amount: amountsSchema,
});

const allowanceSchema = v.object({
  workspace: v.string(),
  limit: amountsSchema,
  /** Version of the catalog that the limit is from. */
  limitVersion: v.number(),
  holdings: v.array(holdingSchema),
  /** Pools that need more than they hold. */
  shortPools: v.array(v.string()),
  /**
   * Pools that have not told yet what they have running. Until then the others
   * start nothing.
   */
  undeclaredPools: v.array(v.string()),
});

/** What a pool holds of a workspace's limit. */
export type Holding = v.InferOutput<typeof holdingSchema>;

/** Decoded row of a limited workspace. */
export type Allowance = v.InferOutput<typeof allowanceSchema>;

/** Key of a workspace's row. */
export function allowanceKey(workspace: string): StoreRowKey {
  const isPlain = Buffer.byteLength(workspace) <= maxPlainKeyBytes;
  const key = isPlain
    ? workspace
    : createHash("sha256").update(workspace).digest("hex");
  return { table: allowanceTable, partition: allowancePartition, key };
}

/** Decodes a row's value; undefined if it is not one. */
export function decodeAllowance(value: string): Allowance | undefined {
  return parseJson(allowanceSchema, value);
}

/** Encodes a row's value. */
export function encodeAllowance(allowance: Allowance): string {
  return JSON.stringify(allowance);
}

/** The holding of a pool. */
export function holdingOf(
  { holdings }: Allowance,
  pool: string,
): Holding | undefined {
  return holdings.find((each) => each.pool === pool);
}

/** Sum of what the pools other than `pool` hold. */
export function heldByOthers({ holdings }: Allowance, pool: string): Resources {
  return holdings.filter((each) => each.pool !== pool)
    .map(({ amount }) => amount).reduce(addResources, noResources);
}
