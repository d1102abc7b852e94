/** Changes of hosts, waves and entries by operators, with audit records. */
import { Ok, type Result } from "ts-results";
import type * as v from "valibot";
import { auditWrite } from "../audit/index.ts";
import type { Clock } from "../clock/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import { codes, fail, type Failure } from "../errors/index.ts";
import {
  changeRegistration,
  type Host,
  hostKey,
  hostKeyPrefix,
  hostSchema,
  registrationKeyPrefix,
  registrationSchema,
  returnToService,
} from "../hosts/index.ts";
import {
  commandWave,
  drainHost,
  planWave,
  type Wave,
  type WaveCommand,
  waveKey,
  waveKeyPrefix,
  waveSchema,
} from "../maintenance/index.ts";
import {
  type DecodedRow,
  decodeRow,
  decodeRows,
  type Platform,
  type PlatformCommitOutcome,
} from "../platform/index.ts";
import type { ChangeContext } from "../table/index.ts";
import type { wavePlanSchema } from "./api_types.ts";

/** Dependencies of the functions in this module. */
export interface FleetChangeDependencies {
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  readonly clock: Clock;
}

type WavePlanRequest = v.InferOutput<typeof wavePlanSchema>;

/**
 * Takes a host out of service and returns the changed host. Fails as
 * `drainHost` does.
 */
export async function drainHostForOperator(
  deps: FleetChangeDependencies,
  host: string,
  ctx: ChangeContext,
): Promise<Result<Host, Failure>> {
  const drained = await drainHost(deps, { host, cause: "operator" }, ctx);
  return drained.map((d) => d.host);
}

/** Starts to move a host to another pool. Fails as `drainHost` does. */
export async function moveHostForOperator(
  deps: FleetChangeDependencies,
  host: string,
  targetPool: string,
  ctx: ChangeContext,
): Promise<Result<Host, Failure>> {
  const order = { host, cause: "operator", target: targetPool };
  const drained = await drainHost(deps, order, ctx);
  return drained.map((d) => d.host);
}

/**
 * Returns a drained host to service. Fails with `notFound` or `stateConflict`,
 * or as the table service does.
 */
export async function returnHostForOperator(
  deps: FleetChangeDependencies,
  name: string,
  ctx: ChangeContext,
): Promise<Result<Host, Failure>> {
  const stored = await readRequiredRow(
    deps,
    hostKey(name),
    hostSchema,
    "host",
    name,
  );
  if (stored.err) return stored;
  const before = stored.val.value;
  if (before.state === "draining") {
    return fail(codes.stateConflict, `host ${name} is still draining`);
  }
  const next = returnToService(before);
  if (next.err) return next;
  const outcome = await deps.platform.table.commit({
    operation: ctx.operation,
    checks: [{ key: stored.val.key, version: stored.val.version }],
    writes: [
      { key: stored.val.key, value: next.val },
      auditWrite({
        at: ctx.at,
        who: ctx.who,
        action: "host.return",
        subject: `host ${name}`,
        before,
        after: next.val,
        operation: ctx.operation,
      }),
    ],
  });
  return valueIfCommitted(outcome, next.val, `host ${name}`);
}

/** Reads all waves. Fails as the table service does. */
export async function readWaves(
  deps: FleetChangeDependencies,
): Promise<Result<readonly Wave[], Failure>> {
  const rows = await deps.platform.table.read({ prefixes: [waveKeyPrefix] });
  return rows.map((list) =>
    decodeRows(waveSchema, list, waveKeyPrefix).map((row) => row.value)
  );
}

/**
 * Plans a wave. Fails with `notFound` if a named host does not exist or no host
 * is selected, or with `stateConflict` if a wave of this id exists.
 */
export async function createWave(
  deps: FleetChangeDependencies,
  plan: WavePlanRequest,
  ctx: ChangeContext,
): Promise<Result<Wave, Failure>> {
  const rows = await deps.platform.table.read({ prefixes: [hostKeyPrefix] });
  if (rows.err) return rows;
  const hosts = decodeRows(hostSchema, rows.val, hostKeyPrefix)
    .map((row) => row.value)
    .filter((host) =>
      plan.hosts.includes(host.name) || plan.pools.includes(host.pool)
    );
  const missing = plan.hosts.filter((n) => !hosts.some((h) => h.name === n));
  if (missing.length > 0) {
    return fail(codes.notFound, `unknown hosts: ${missing.join(", ")}`);
  }
  if (hosts.length === 0) return fail(codes.notFound, "no host is selected");
  const wave = planWave(plan.id, hosts, plan.parallel, ctx.at);
  const key = waveKey(plan.id);
  return await commitWave(deps, { key, version: 0 }, null, wave, ctx);
}

/**
 * Applies an operator's command to a wave. Fails with `notFound`, or with
 * `stateConflict` if the wave's state does not allow the command.
 */
export async function controlWave(
  deps: FleetChangeDependencies,
  id: string,
  command: WaveCommand,
  ctx: ChangeContext,
): Promise<Result<Wave, Failure>> {
  const stored = await readRequiredRow(
    deps,
    waveKey(id),
    waveSchema,
    "wave",
    id,
  );
  if (stored.err) return stored;
  const next = commandWave(stored.val.value, command);
  if (next.err) return next;
  const before = stored.val.value.state;
  return await commitWave(deps, stored.val, before, next.val, ctx);
}

/** Writes a wave's row if it has not changed, with an audit record. */
async function commitWave(
  deps: FleetChangeDependencies,
  storedRow: { readonly key: string; readonly version: number },
  before: Wave["state"] | null,
  wave: Wave,
  ctx: ChangeContext,
): Promise<Result<Wave, Failure>> {
  const outcome = await deps.platform.table.commit({
    operation: ctx.operation,
    checks: [{ key: storedRow.key, version: storedRow.version }],
    writes: [
      { key: storedRow.key, value: wave },
      auditWrite({
        at: ctx.at,
        who: ctx.who,
        action: "wave.state",
        subject: `wave ${wave.id}`,
        before,
        after: wave.state,
        operation: ctx.operation,
      }),
    ],
  });
  return valueIfCommitted(outcome, wave, `wave ${wave.id}`);
}

/**
 * Removes an entry from the registrations of all zones and returns the number
 * of zones. The operator must be certain that the entry is off. Fails with
 * `notFound` if the entry is not registered.
 */
export async function forgetEntry(
  deps: FleetChangeDependencies,
  entry: string,
  ctx: ChangeContext,
): Promise<Result<number, Failure>> {
  const rows = await deps.platform.table.read({
    prefixes: [registrationKeyPrefix],
  });
  if (rows.err) return rows;
  const registrations = decodeRows(
    registrationSchema,
    rows.val,
    registrationKeyPrefix,
  )
    .filter((row) => row.value.entries.some((e) => e.entry === entry));
  for (const { value } of registrations) {
    const changed = await changeRegistration(
      deps.platform.table,
      value.zone,
      `${ctx.operation}/${value.zone}`,
      (row) => ({
        ...row,
        entries: row.entries.filter((e) => e.entry !== entry),
      }),
    );
    if (changed.err) return changed;
  }
  if (registrations.length === 0) {
    return fail(codes.notFound, `entry ${entry} is not registered`);
  }
  const recorded = await deps.platform.table.commit({
    operation: ctx.operation,
    checks: [],
    writes: [auditWrite({
      at: ctx.at,
      who: ctx.who,
      action: "entry.forget",
      subject: `entry ${entry}`,
      before: registrations.map((registration) => registration.value.zone),
      after: [],
      operation: ctx.operation,
    })],
  });
  return recorded.map(() => registrations.length);
}

/** Reads and decodes one row. Fails with `notFound` or `rowInvalid`. */
async function readRequiredRow<T extends v.GenericSchema>(
  deps: FleetChangeDependencies,
  key: string,
  schema: T,
  kind: string,
  name: string,
): Promise<Result<DecodedRow<v.InferOutput<T>>, Failure>> {
  const rows = await deps.platform.table.read({ keys: [key] });
  if (rows.err) return rows;
  const row = rows.val[0];
  if (row === undefined) {
    return fail(codes.notFound, `${kind} ${name} does not exist`);
  }
  return decodeRow(schema, row);
}

/** Returns `value` if a transaction committed, else `stateConflict`. */
function valueIfCommitted<T>(
  outcome: Result<PlatformCommitOutcome, Failure>,
  value: T,
  subject: string,
): Result<T, Failure> {
  if (outcome.err) return outcome;
  if (outcome.val.kind === "committed") return Ok(value);
  return fail(codes.stateConflict, `${subject} was changed concurrently`);
}
