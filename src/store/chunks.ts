/** Splits lists so that each part fits into one transaction. */

/** Splits a list into lists of at most `size` items. */
export function chunks<T>(
  items: readonly T[],
  size: number,
): readonly (readonly T[])[] {
  const count = Math.ceil(items.length / size);
  return Array.from(
    { length: count },
    (_, i) => items.slice(i * size, (i + 1) * size),
  );
}
