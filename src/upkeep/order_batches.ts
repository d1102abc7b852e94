/**
 * Concurrent sending of orders, because a surge in demand needs many moves at
 * once.
 */

/**
 * Number of orders in flight at once. An order takes about 12 ms, so this
 * allows several hundred a second; the provider throttles orders above its
 * limit.
 */
const maxConcurrentOrders = 8;

/**
 * Sends an order for each item, in batches of concurrent orders. Stops before a
 * batch if `mayContinue` returns false, and after a batch in which an order
 * returned false.
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
