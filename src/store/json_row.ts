/** JSON values of rows, checked by a schema at the edge. */
import * as v from "valibot";

/** Decodes a row's value; undefined for another writer's bytes. */
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
