/** Gives the orders of one pass side by side, as a surge needs many at once. */

/**
 * Orders that are on their way at once. One takes about 12 ms, so this gives
 * some hundreds a second; above what the provider takes it says so.
 */
const parallelOrders = 8;

/**
 * Gives an order for each item, a few at a time. Stops before the next few
 * when `mayGo` says no, or when an order answered with false.
 */
export async function giveOrders<T>(
  items: readonly T[],
  mayGo: () => boolean,
  give: (item: T) => Promise<boolean>,
): Promise<void> {
  for (let i = 0; i < items.length; i += parallelOrders) {
    if (!mayGo()) return;
    const few = items.slice(i, i + parallelOrders);
    const answers = await Promise.all(few.map(give));
    if (answers.includes(false)) return;
  }
}
