/** Gives the orders of one pass side by side, as a surge needs many at once. */

/**
 * Orders that are on their way at once. One takes about 12 ms, so this gives
 * some hundreds a second; above what the provider takes it says so.
 */
const maxConcurrentOrders = 8;

/**
 * Gives an order for each item, a few at a time. Stops before the next few
 * when `mayGo` says no, or when an order answered with false.
 */
export async function sendInBatches<T>(
  items: readonly T[],
  mayContinue: () => boolean,
  send: (item: T) => Promise<boolean>,
): Promise<void> {
  for (let i = 0; i < items.length; i += maxConcurrentOrders) {
    if (!mayContinue()) return;
    const batch = items.slice(i, i + maxConcurrentOrders);
    const accepted = await Promise.all(batch.map(send));
    if (accepted.includes(false)) return;
  }
}
