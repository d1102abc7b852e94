/** Judges the rule ONE: orders about a host come with rising fencing tokens. */
import type { Finding } from "./finding.ts";
import type { PlayRecord, SeenHostOrder } from "./play_record.ts";

function toFinding(order: SeenHostOrder, before: SeenHostOrder): Finding {
  const ms = Math.round(order.at - before.at);
  return {
    rule: "ONE",
    part: "lower fence after a higher one",
    job: order.host,
    at: order.at,
    text: `${order.host} gets an order of ${order.holder} with fence ` +
      `${order.fence}, ${ms} ms after one of ${before.holder} with fence ` +
      `${before.fence}`,
  };
}

/** Finds the orders about a host whose token is lower than an earlier one. */
export function judgeOne({ hostOrders }: PlayRecord): readonly Finding[] {
  const highest = new Map<string, SeenHostOrder>();
  const findings: Finding[] = [];
  for (const order of hostOrders) {
    const before = highest.get(order.host);
    if (before !== undefined && order.fence < before.fence) {
      findings.push(toFinding(order, before));
    } else {
      highest.set(order.host, order);
    }
  }
  return findings;
}
