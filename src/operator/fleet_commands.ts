/** Operators' commands on hosts, waves, and entries, as transactions. */
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
  hostPrefix,
  hostSchema,
  registrationPrefix,
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
  wavePrefix,
  waveSchema,
} from "../maintenance/index.ts";
import {
  type CommitOutcome,
  decodeRow,
  decodeRows,
  type Platform,
  type Stored,
} from "../platform/index.ts";
import type { ChangeContext } from "../table/index.ts";
import type { wavePlanSchema } from "./api_types.ts";

/** Services that the commands use. */
export interface CommandParts {
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  readonly clock: Clock;
}

type WavePlan = v.InferOutput<typeof wavePlanSchema>;

/** Takes a host out of service. Fails as `drainHost` does. */
export async function drainCommand(
  parts: CommandParts,
  host: string,
  ctx: ChangeContext,
): Promise<Result<Host, Failure>> {
  const drained = await drainHost(parts, { host, cause: "operator" }, ctx);
  return drained.map((d) => d.host);
}

/** Moves a host to another pool. Fails as `drainHost` does. */
export async function moveCommand(
  parts: CommandParts,
  host: string,
  target: string,
  ctx: ChangeContext,
): Promise<Result<Host, Failure>> {
  const order = { host, cause: "operator", target };
  const drained = await drainHost(parts, order, ctx);
  return drained.map((d) => d.host);
}

/** Returns a host that an operator drained. */
export async function returnCommand(
  parts: CommandParts,
  name: string,
  ctx: ChangeContext,
): Promise<Result<Host, Failure>> {
  const stored = await readOne(parts, hostKey(name), hostSchema, "host", name);
  if (stored.err) return stored;
  const before = stored.val.value;
  if (before.state === "draining") {
    return fail(codes.stateConflict, `host ${name} is still draining`);
  }
  const next = returnToService(before);
  if (next.err) return next;
  const outcome = await parts.platform.table.commit({
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
  return committed(outcome, next.val, `host ${name}`);
}

/** Reads all waves. */
export async function readWaves(
  parts: CommandParts,
): Promise<Result<readonly Wave[], Failure>> {
  const rows = await parts.platform.table.read({ prefixes: [wavePrefix] });
  return rows.map((list) =>
    decodeRows(waveSchema, list, wavePrefix).map((row) => row.value)
  );
}

/** Plans a wave. Fails with `notFound` or `stateConflict`. */
export async function planCommand(
  parts: CommandParts,
  plan: WavePlan,
  ctx: ChangeContext,
): Promise<Result<Wave, Failure>> {
  const rows = await parts.platform.table.read({ prefixes: [hostPrefix] });
  if (rows.err) return rows;
  const hosts = decodeRows(hostSchema, rows.val, hostPrefix)
    .map((row) => row.value)
    .filter((host) =>
      plan.hosts.includes(host.name) || plan.pools.includes(host.pool)
    );
  const missing = plan.hosts.filter((n) => !hosts.some((h) => h.name === n));
  if (missing.length > 0) {
    return fail(codes.notFound, `no such hosts: ${missing.join(", ")}`);
  }
  if (hosts.length === 0) return fail(codes.notFound, "no host is selected");
  const wave = planWave(plan.id, hosts, plan.parallel, ctx.at);
  const key = waveKey(plan.id);
  return await commitWave(parts, { key, version: 0 }, null, wave, ctx);
}

/** Applies an operator's command to a wave. */
export async function waveCommand(
  parts: CommandParts,
  id: string,
  command: WaveCommand,
  ctx: ChangeContext,
): Promise<Result<Wave, Failure>> {
  const stored = await readOne(parts, waveKey(id), waveSchema, "wave", id);
  if (stored.err) return stored;
  const next = commandWave(stored.val.value, command);
  if (next.err) return next;
  const before = stored.val.value.state;
  return await commitWave(parts, stored.val, before, next.val, ctx);
}

async function commitWave(
  parts: CommandParts,
  from: { readonly key: string; readonly version: number },
  before: Wave["state"] | null,
  wave: Wave,
  ctx: ChangeContext,
): Promise<Result<Wave, Failure>> {
  const outcome = await parts.platform.table.commit({
    operation: ctx.operation,
    checks: [{ key: from.key, version: from.version }],
    writes: [
      { key: from.key, value: wave },
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
  return committed(outcome, wave, `wave ${wave.id}`);
}

/** Declares an entry gone in every zone, on an operator's word. */
export async function forgetEntry(
  parts: CommandParts,
  entry: string,
  ctx: ChangeContext,
): Promise<Result<number, Failure>> {
  const rows = await parts.platform.table.read({
    prefixes: [registrationPrefix],
  });
  if (rows.err) return rows;
  const zones = decodeRows(registrationSchema, rows.val, registrationPrefix)
    .filter((row) => row.value.entries.some((e) => e.entry === entry));
  for (const { value } of zones) {
    const changed = await changeRegistration(
      parts.platform.table,
      value.zone,
      `${ctx.operation}/${value.zone}`,
      (row) => ({
        ...row,
        entries: row.entries.filter((e) => e.entry !== entry),
      }),
    );
    if (changed.err) return changed;
  }
  if (zones.length === 0) {
    return fail(codes.notFound, `entry ${entry} is not registered`);
  }
  const recorded = await parts.platform.table.commit({
    operation: ctx.operation,
    checks: [],
    writes: [auditWrite({
      at: ctx.at,
      who: ctx.who,
      action: "entry.forget",
      subject: `entry ${entry}`,
      before: zones.map((z) => z.value.zone),
      after: [],
      operation: ctx.operation,
    })],
  });
  return recorded.map(() => zones.length);
}

async function readOne<T extends v.GenericSchema>(
  parts: CommandParts,
  key: string,
  schema: T,
  kind: string,
  name: string,
): Promise<Result<Stored<v.InferOutput<T>>, Failure>> {
  const rows = await parts.platform.table.read({ keys: [key] });
  if (rows.err) return rows;
  const row = rows.val[0];
  if (row === undefined) {
    return fail(codes.notFound, `${kind} ${name} does not exist`);
  }
  return decodeRow(schema, row);
}

function committed<T>(
  outcome: Result<CommitOutcome, Failure>,
  value: T,
  subject: string,
): Result<T, Failure> {
  if (outcome.err) return outcome;
  if (outcome.val.kind === "committed") return Ok(value);
  return fail(codes.stateConflict, `${subject} changed meanwhile`);
}
