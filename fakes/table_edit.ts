/** Edits a class of the table and waits until the edit is in force. */
import { codes, fail, type Failure } from "../src/errors/index.ts";
import { Ok, type Result } from "ts-results";
import {
  type ConfirmationReply,
  confirmationReplySchema,
  editReplySchema,
  type OperatorClient,
  tableReplySchema,
} from "../src/operator/index.ts";
import type { ClassRow } from "../src/table/index.ts";

const confirmTimeoutMs = 16_000;

/** An accepted edit and the entries that have it in force. */
export interface ConfirmedEdit {
  readonly confirmation: ConfirmationReply;
  /** Time from the submission to the confirmation, in ms. */
  readonly submitToConfirmMs: number;
  /** Time from the acceptance to the confirmation, in ms. */
  readonly acceptToConfirmMs: number;
}

/**
 * Edits a class and waits until the reachable entries have the edit in force.
 * Fails with `notFound` if the table has no such class.
 */
export async function editClass(
  operator: OperatorClient,
  name: string,
  change: Partial<ClassRow>,
): Promise<Result<ConfirmedEdit, Failure>> {
  const table = await operator.get("/v1/table", tableReplySchema);
  if (table.err) return table;
  const key = `class/${name}`;
  const stored = table.val.rows.find((r) =>
    r.row.kind === "class" && r.row.name === name
  );
  if (stored === undefined) return fail(codes.notFound, `no row ${key} exists`);
  const row = { ...stored.row, ...change };
  const submittedAt = performance.now();
  const edit = await operator.post("/v1/table", editReplySchema, {
    changes: [{ key, base: stored.version, row }],
  });
  if (edit.err) return edit;
  const acceptedAt = performance.now();
  const path =
    `/v1/table/force?version=${edit.val.version}&wait=${confirmTimeoutMs}`;
  const confirmation = await operator.get(path, confirmationReplySchema);
  if (confirmation.err) return confirmation;
  const confirmedAt = performance.now();
  return Ok({
    confirmation: confirmation.val,
    submitToConfirmMs: confirmedAt - submittedAt,
    acceptToConfirmMs: confirmedAt - acceptedAt,
  });
}
