/** Which entries have a version of the table in force, as one entry sees it. */
import type { FleetState } from "../fleet/index.ts";
import type { Member } from "../peers/index.ts";
import type { ForceReply, StatusReply } from "./api_types.ts";

/** Identity of the entry that answers. */
export interface EntryView {
  readonly entry: string;
  readonly zone: string;
  readonly state: FleetState;
  readonly members: readonly Member[];
}

/** The table version of every registered or connected entry. */
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

/** Sorts the entries by whether they have confirmed a version. */
export function groupByConfirmation(
  view: EntryView,
  version: number,
): ForceReply {
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
