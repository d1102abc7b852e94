/** The hosts an entry knows, by name, each at the highest epoch seen. */
import type { Host } from "./host.ts";

/** An immutable map of hosts. */
export type HostMap = ReadonlyMap<string, Host>;

/** A map after an update, with the rows that were newer than before. */
export interface HostUpdate {
  readonly hosts: HostMap;
  readonly changed: readonly Host[];
}

/** Applies the rows whose epoch is higher than the known one. */
export function applyHosts(hosts: HostMap, rows: readonly Host[]): HostUpdate {
  const changed = rows.filter((row) => {
    const known = hosts.get(row.name);
    return known === undefined || known.epoch < row.epoch;
  });
  if (changed.length === 0) return { hosts, changed };
  const next = new Map(hosts);
  for (const row of changed) next.set(row.name, row);
  return { hosts: next, changed };
}
