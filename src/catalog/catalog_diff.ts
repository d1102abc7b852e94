/** Compares two versions of the catalog for the operator. */
import type { Catalog, Pool, Queue } from "./catalog.ts";
import type { Workspace } from "../workspaces/index.ts";

/** A difference between two versions of a catalog. */
export interface CatalogChange {
  readonly kind: "added" | "removed" | "changed";
  /** The entry, such as `queue orders`. */
  readonly entry: string;
  /** The fields that differ, with their values; empty unless changed. */
  readonly fields: readonly string[];
}

/** Fields of an entry as they are compared and printed. */
type Fields = Readonly<Record<string, unknown>>;

/** Which version an entry is of: the one in force, or the one to be sent. */
type Side = "before" | "after";

/**
 * Fields of a workspace. Its keys are counted, as only their digests are known:
 * all of them, and those that the other version lacks.
 */
function workspaceFields(
  { weight, limit, keys }: Workspace,
  other: Workspace,
  side: Side,
): Fields {
  const only = keys.filter((key) => !other.keys.includes(key)).length;
  const label = side === "before" ? "removed" : "new";
  const suffix = only > 0 ? `, ${only} ${label}` : "";
  return { weight, limit, keys: `${keys.length}${suffix}` };
}

/** Describes the fields whose values differ. */
function differingFields(before: Fields, after: Fields): readonly string[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  const text = (value: unknown) => JSON.stringify(value) ?? "none";
  return [...names]
    .filter((name) => text(before[name]) !== text(after[name]))
    .map((name) => `${name}: ${text(before[name])} -> ${text(after[name])}`);
}

/** Compares the entries of one kind by their names. */
function compareEntries<T extends { readonly name: string }>(
  kind: string,
  before: readonly T[],
  after: readonly T[],
  fieldsOf: (entry: T, other: T, side: Side) => Fields,
): readonly CatalogChange[] {
  const old = new Map(before.map((entry) => [entry.name, entry]));
  const changes: CatalogChange[] = [];
  for (const entry of after) {
    const earlier = old.get(entry.name);
    old.delete(entry.name);
    const label = `${kind} ${entry.name}`;
    if (earlier === undefined) {
      changes.push({ kind: "added", entry: label, fields: [] });
      continue;
    }
    const fields = differingFields(
      fieldsOf(earlier, entry, "before"),
      fieldsOf(entry, earlier, "after"),
    );
    if (fields.length > 0) {
      changes.push({ kind: "changed", entry: label, fields });
    }
  }
  for (const name of old.keys()) {
    changes.push({ kind: "removed", entry: `${kind} ${name}`, fields: [] });
  }
  return changes;
}

const queueFields = (queue: Queue): Fields => ({ ...queue });
const poolFields = (pool: Pool): Fields => ({ ...pool });

/** Returns what differs in `after` from `before`, the version in force. */
export function compareCatalogs(
  before: Catalog,
  after: Catalog,
): readonly CatalogChange[] {
  return [
    ...compareEntries("queue", before.queues, after.queues, queueFields),
    ...compareEntries("pool", before.pools, after.pools, poolFields),
    ...compareEntries(
      "workspace",
      before.workspaces?.all() ?? [],
      after.workspaces?.all() ?? [],
      workspaceFields,
    ),
  ];
}
