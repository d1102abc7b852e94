/**
 * Registrations: which entries may send to the hosts of an availability zone.
 *
 * A step of a host's change checks the zone's registration row in its
 * transaction, so an entry that registers later reads the new state of the
 * host, and one that registered earlier is asked for its confirmation.
 */
import * as v from "valibot";
import type { Result } from "ts-results";
import { Ok } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";
import { decodeRow, type TableService } from "../platform/index.ts";

/** Prefix of registration rows, one per availability zone. */
export const registrationPrefix = "registration/";

const maxCommitAttempts = 8;

export const registeredEntrySchema = v.object({
  entry: v.string(),
  /** Grows with every start of the entry's process. */
  incarnation: v.string(),
  /** Availability zone of the entry itself. */
  zone: v.string(),
  /** Address of the entry's peer port. */
  peer: v.string(),
});

export const registrationSchema = v.object({
  zone: v.string(),
  entries: v.array(registeredEntrySchema),
});

export type RegisteredEntry = v.InferOutput<typeof registeredEntrySchema>;
export type Registration = v.InferOutput<typeof registrationSchema>;

/** The key of a zone's registration row. */
export function registrationKey(zone: string): string {
  return registrationPrefix + zone;
}

/** Adds an entry, replacing its earlier incarnations. */
export function addEntry(
  registration: Registration,
  entry: RegisteredEntry,
): Registration {
  const others = registration.entries.filter((e) => e.entry !== entry.entry);
  return { ...registration, entries: [...others, entry] };
}

/** Removes one incarnation of an entry. */
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

/** Whether this incarnation of an entry is registered. */
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
 * Commits a change of a zone's registration and returns the row as committed.
 * Fails as the table service does.
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
  return fail(codes.stateConflict, `registration of ${zone} keeps changing`);
}
