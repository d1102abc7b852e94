/** Table versions in force on the entries, as known to one entry. */
import type { FleetState } from "../fleet/index.ts";
import type { PeerMember } from "../peers/index.ts";
import type { ConfirmationReply, StatusReply } from "./api_types.ts";

/** The replying entry and what it knows of the others. */
export interface EntryView {
  readonly entry: string;
  readonly zone: string;
  readonly state: FleetState;
  readonly members: readonly PeerMember[];
}

/**
 * Returns the table version of each registered or connected entry, sorted by
 * entry; null for an entry that is not connected.
 */
export function entryVersions(view: EntryView): StatusReply["entries"] {
  const versions = new Map<string, StatusReply["entries"][number]>();
  for (const row of view.state.registrations.values()) {
    for (const { entry, zone } of row.entries) {
      versions.set(entry, { entry, zone, version: null });
    }
  }
  for (const { hello, heartbeat } of view.members) {
    const { entry, zone } = hello;
    const version = heartbeat?.tableVersion ?? null;
    versions.set(entry, { entry, zone, version });
  }
  const ownVersion = view.state.table.version;
  versions.set(view.entry, {
    entry: view.entry,
    zone: view.zone,
    version: ownVersion,
  });
  return [...versions.values()].sort((a, b) => a.entry.localeCompare(b.entry));
}

/** Groups the entries by whether a table version is in force on them. */
export function groupByConfirmation(
  view: EntryView,
  version: number,
): ConfirmationReply {
  const entries = entryVersions(view);
  const entryNames = (list: typeof entries) => list.map((e) => e.entry);
  return {
    version,
    confirmed: entryNames(entries.filter((e) => (e.version ?? -1) >= version)),
    pending: entryNames(
      entries.filter((e) => e.version !== null && e.version < version),
    ),
    unreachable: entryNames(entries.filter((e) => e.version === null)),
  };
}
