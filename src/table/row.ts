/**
 * Rows of the operators' table: one per pool and one per class of work.
 */
import * as v from "valibot";

const nameSchema = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9-]{0,47}$/, "1 to 48 of a-z, 0-9 and -"),
);

function integerSchema(min: number, max: number) {
  const allowed = `a whole number from ${min} to ${max}`;
  return v.pipe(
    v.number(allowed),
    v.integer(allowed),
    v.minValue(min, allowed),
    v.maxValue(max, allowed),
  );
}

function numberSchema(min: number, max: number) {
  const allowed = `a number from ${min} to ${max}`;
  return v.pipe(
    v.number(allowed),
    v.minValue(min, allowed),
    v.maxValue(max, allowed),
  );
}

export const poolRowSchema = v.object({
  kind: v.literal("pool"),
  name: nameSchema,
  /** Smallest number of available hosts that maintenance may leave. */
  budget: integerSchema(0, 10_000),
  /** Whether the pool lends its idle hosts first. */
  spare: v.boolean("true or false"),
});

export const classRowSchema = v.object({
  kind: v.literal("class"),
  name: nameSchema,
  pool: nameSchema,
  /** Urgent work starts by its deadline or is refused; patient work waits. */
  urgency: v.picklist(["urgent", "patient"], "urgent or patient"),
  /** Whether a run may be repeated after an unknown outcome. */
  repeat: v.picklist(["repeatable", "once"], "repeatable or once"),
  /** Share of the pool against its other classes of the same urgency. */
  weight: numberSchema(0.01, 1000),
  /** Price per request, handed to the endpoint. */
  price: numberSchema(0, 1_000_000),
  /** Admitted requests a second over all entries; 0 is unlimited. */
  rate: numberSchema(0, 1_000_000),
  /** Admitted requests at a time over all entries; 0 is unlimited. */
  concurrency: integerSchema(0, 1_000_000),
  /** Waiting requests per entry. */
  queue: integerSchema(1, 100_000),
  /** Latest start after arrival in ms; 0 for patient classes. */
  deadlineMs: integerSchema(0, 3_600_000),
  /** Longest run in ms. */
  runMs: integerSchema(1, 86_400_000),
});

export const tableRowSchema = v.variant("kind", [
  poolRowSchema,
  classRowSchema,
]);

export type PoolRow = v.InferOutput<typeof poolRowSchema>;
export type ClassRow = v.InferOutput<typeof classRowSchema>;
export type TableRow = v.InferOutput<typeof tableRowSchema>;

/** Identifies a row: `pool/NAME` or `class/NAME`. */
export type RowKey = string;

/** The key of a row. */
export function rowKey(row: TableRow): RowKey {
  return `${row.kind}/${row.name}`;
}
