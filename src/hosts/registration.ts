/**
 * Registrations: the entries that may send requests to the hosts of an
 * availability zone.
 *
 * The transaction that changes a host's state also checks the version of the
 * zone's registration row. An entry that registers later therefore reads the
 * host's new state, and one that registered earlier must confirm the change.
 */
import * as v from "valibot";
import type { Result } from "ts-results";
import { Ok } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";
import { decodeRow, type TableService } from "../platform/index.ts";

/** Prefix of the keys of registration rows, one per availability zone. */
export const registrationKeyPrefix = "registration/";

/** Number of attempts to commit a change before it fails with a conflict. */
const maxCommitAttempts = 8;

/** Schema of one entry in a registration row. */
export const registeredEntrySchema = v.object({
  entry: v.string(),
  /** Identifies one start of the entry's process; begins with the start time. */
  incarnation: v.string(),
  /** Availability zone of the entry itself. */
  zone: v.string(),
  /** Address of the entry's peer port. */
  peer: v.string(),
});

/** Schema of a registration row. */
export const registrationSchema = v.object({
  zone: v.string(),
  entries: v.array(registeredEntrySchema),
});

/** An entry in a registration row. */
export type RegisteredEntry = v.InferOutput<typeof registeredEntrySchema>;
/** The registration row of an availability zone. */
export type Registration = v.InferOutput<typeof registrationSchema>;

/** Returns the key of a zone's registration row. */
export function registrationKey(zone: string): string {
  return registrationKeyPrefix + zone;
}

/** Adds an entry and removes its other incarnations. */
export function addEntry(
  registration: Registration,
  entry: RegisteredEntry,
): Registration {
  const others = registration.entries.filter((e) => e.entry !== entry.entry);
  return { ...registration, entries: [...others, entry] };
}

/** Removes one incarnation of an entry; other incarnations stay. */
export function removeEntry(
  registration: Registration,
  entry: string,
  incarnation: string,
): Registration {
  const entries = registration.entries.filter((e) =>
    e.entry !== entry || e.incarnation !== incarnation
  );
  return { ...registration, entries };
}

/** Whether this incarnation of the entry is registered. */
export function isRegistered(
  registration: Registration | undefined,
  entry: string,
  incarnation: string,
): boolean {
  return registration?.entries.some((e) =>
    e.entry === entry && e.incarnation === incarnation
  ) ?? false;
}

/**
 * Reads a zone's registration row, applies `change`, and commits the result.
 * A commit that conflicts is retried on a fresh read; the operation id of each
 * attempt is `operation` with the attempt's number. Returns the row as
 * committed. Fails with `stateConflict` when every attempt conflicts, and
 * otherwise with the table service's failure.
 */
export async function changeRegistration(
  service: TableService,
  zone: string,
  operation: string,
  change: (row: Registration) => Registration,
): Promise<Result<Registration, Failure>> {
  const key = registrationKey(zone);
  for (let attempt = 0; attempt < maxCommitAttempts; attempt++) {
    const read = await service.read({ keys: [key] });
    if (read.err) return read;
    const row = read.val[0];
    const current = row === undefined
      ? Ok({ key, version: 0, value: { zone, entries: [] } })
      : decodeRow(registrationSchema, row);
    if (current.err) return current;
    const next = change(current.val.value);
    if (JSON.stringify(next) === JSON.stringify(current.val.value)) {
      return Ok(next);
    }
    const outcome = await service.commit({
      operation: `${operation}/${attempt}`,
      checks: [{ key, version: current.val.version }],
      writes: [{ key, value: next }],
    });
    if (outcome.err) return outcome;
    if (outcome.val.kind === "committed") return Ok(next);
  }
  return fail(
    codes.stateConflict,
    `registration of zone ${zone} was changed concurrently`,
  );
}
