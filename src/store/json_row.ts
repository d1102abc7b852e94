/** Decoding of JSON row values, validated against a schema. */
import * as v from "valibot";

/** Decodes a row's value; undefined if it is not JSON that fits the schema. */
export function parseJson<T extends v.GenericSchema>(
  schema: T,
  value: string,
): v.InferOutput<T> | undefined {
  let data: unknown;
  try {
    data = JSON.parse(value);
  } catch {
    return undefined;
  }
  const parsed = v.safeParse(schema, data);
  return parsed.success ? parsed.output : undefined;
}
