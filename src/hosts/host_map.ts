/** The hosts known to an entry, each at the highest epoch received. */
import type { Host } from "./host.ts";

/** An immutable map of host rows by host name. */
export type HostMap = ReadonlyMap<string, Host>;

/** The map after an update, with the rows that changed it. */
export interface HostUpdate {
  readonly hosts: HostMap;
  readonly changed: readonly Host[];
}

/** Applies the rows of new hosts and the rows whose epoch has increased. */
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
