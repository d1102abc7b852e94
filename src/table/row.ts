/** Rows of the operator's table: one per pool and one per class of work. */
import * as v from "valibot";

/** Name of a pool or a class. */
const nameSchema = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9-]{0,47}$/, "1 to 48 of a-z, 0-9 and -"),
);

/** Schema of an integer from `min` to `max`. */
function integerSchema(min: number, max: number) {
  const allowed = `a whole number from ${min} to ${max}`;
  return v.pipe(
    v.number(allowed),
    v.integer(allowed),
    v.minValue(min, allowed),
    v.maxValue(max, allowed),
  );
}

/** Schema of a number from `min` to `max`. */
function numberSchema(min: number, max: number) {
  const allowed = `a number from ${min} to ${max}`;
  return v.pipe(
    v.number(allowed),
    v.minValue(min, allowed),
    v.maxValue(max, allowed),
  );
}

/** Schema of a pool. */
export const poolRowSchema = v.object({
  kind: v.literal("pool"),
  name: nameSchema,
  /** Minimum number of available hosts during maintenance. */
  budget: integerSchema(0, 10_000),
  /** Whether idle hosts are moved out of this pool before any other. */
  spare: v.boolean("true or false"),
});

/** Schema of a class of work. */
export const classRowSchema = v.object({
  kind: v.literal("class"),
  name: nameSchema,
  /** Pool that runs the class's requests. */
  pool: nameSchema,
  /** Urgent work starts by its deadline or is refused; patient work waits. */
  urgency: v.picklist(["urgent", "patient"], "urgent or patient"),
  /** Whether a request may run again if the outcome of a run is unknown. */
  repeat: v.picklist(["repeatable", "once"], "repeatable or once"),
  /** Relative share of the pool among its classes of the same urgency. */
  weight: numberSchema(0.01, 1000),
  /** Price per request, which is passed to the endpoint. */
  price: numberSchema(0, 1_000_000),
  /** Maximum requests per second over all entries; 0 for no limit. */
  rate: numberSchema(0, 1_000_000),
  /** Maximum concurrent requests over all entries; 0 for no limit. */
  concurrency: integerSchema(0, 1_000_000),
  /** Maximum number of queued requests per entry. */
  queue: integerSchema(1, 100_000),
  /** Maximum time from arrival to start in ms; 0 for patient classes. */
  deadlineMs: integerSchema(0, 3_600_000),
  /** Maximum duration of a run in ms. */
  runMs: integerSchema(1, 86_400_000),
});

/** Schema of a row. */
export const tableRowSchema = v.variant("kind", [
  poolRowSchema,
  classRowSchema,
]);

/** A pool. */
export type PoolRow = v.InferOutput<typeof poolRowSchema>;
/** A class of work. */
export type ClassRow = v.InferOutput<typeof classRowSchema>;
/** A row of the table. */
export type TableRow = v.InferOutput<typeof tableRowSchema>;

/** Key of a row: `pool/NAME` or `class/NAME`. */
export type RowKey = string;

/** Returns the key of a row. */
export function rowKey(row: TableRow): RowKey {
  return `${row.kind}/${row.name}`;
}
