/**
 * Drains a host: takes it out of service in one transaction that writes the
 * host's row, its pool's budget row, and an audit record.
 */
import { Ok, type Result } from "ts-results";
import type { Clock } from "../clock/index.ts";
import { auditWrite } from "../audit/index.ts";
import { codes, fail, type Failure } from "../errors/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import {
  type Host,
  hostKey,
  hostKeyPrefix,
  type HostMap,
  hostSchema,
  startDrain,
} from "../hosts/index.ts";
import {
  type DecodedRow,
  decodeRow,
  decodeRows,
  type Platform,
  type PlatformRow,
  type PlatformRowCheck,
  type PlatformRowWrite,
} from "../platform/index.ts";
import { type ChangeContext, tableRowSchema } from "../table/index.ts";
import {
  budgetKey,
  type BudgetRow,
  budgetRowSchema,
  checkBudget,
  emptyBudget,
  type PoolView,
} from "./budget.ts";

/** Number of attempts to commit a drain before it fails with a conflict. */
const maxAttempts = 6;
/**
 * Age in ms beyond which a decision is not committed, because the platform's
 * host list may have changed since it was read.
 */
export const maxDecisionAgeMs = 1_000;

/** Dependencies of drains and ejections. */
export interface DrainDependencies {
  readonly platform: Pick<Platform, "table" | "listHosts">;
  readonly endpoints: Pick<EndpointClient, "health">;
  readonly clock: Pick<Clock, "now">;
  /** Decides whether a host may become unavailable; default `checkBudget`. */
  readonly checkBudget?: typeof checkBudget;
}

/** A request to take a host out of service. */
export interface DrainRequest {
  readonly host: string;
  /** Origin of the request: `operator`, `move`, or a wave id. */
  readonly cause: string;
  /** Pool that the host moves to; without one it is drained. */
  readonly target?: string;
  /** Further checks of the transaction. */
  readonly checks?: readonly PlatformRowCheck[];
  /** Further writes of the transaction. */
  readonly writes?: readonly PlatformRowWrite[];
}

/** Result of a committed drain. */
export interface DrainResult {
  /** The host's row as committed. */
  readonly host: Host;
  /** Version of the rows that the transaction wrote. */
  readonly version: number;
}

/** The data on which a drain or an ejection is decided. */
export interface DecisionInputs {
  readonly host: DecodedRow<Host>;
  readonly view: PoolView;
  readonly budget: DecodedRow<BudgetRow>;
  /** Versions of the rows that were read, to check in the transaction. */
  readonly checks: readonly PlatformRowCheck[];
  /** Monotonic time in ms at which reading began. */
  readonly readAt: number;
}

/** Whether the data is too old to commit a decision on it. */
export function isStale(
  deps: Pick<DrainDependencies, "clock">,
  inputs: Pick<DecisionInputs, "readAt">,
): boolean {
  return deps.clock.now() - inputs.readAt > maxDecisionAgeMs;
}

/**
 * Drains a host if its pool's budget allows it. Fails with `notFound`,
 * `stateConflict`, `budgetExceeded`, `commitRefused`, `platformDown`, or
 * `commitUnknown`.
 */
export async function drainHost(
  deps: DrainDependencies,
  request: DrainRequest,
  ctx: ChangeContext,
): Promise<Result<DrainResult, Failure>> {
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const inputs = await readDecisionInputs(deps, request);
    if (inputs.err) return inputs;
    const { host, view, budget, checks } = inputs.val;
    const next = startDrain(host.value, request.cause, request.target);
    if (next.err) return next;
    const allowed = (deps.checkBudget ?? checkBudget)(view, host.value);
    if (allowed.err) return allowed;
    if (isStale(deps, inputs.val)) continue;
    const outcome = await deps.platform.table.commit({
      operation: `${ctx.operation}/${attempt}`,
      checks: [...checks, ...(request.checks ?? [])],
      writes: [
        ...drainWrites(host.value, next.val, budget.value, ctx),
        ...(request.writes ?? []),
      ],
    });
    if (outcome.err) return outcome;
    if (outcome.val.kind === "committed") {
      return Ok({ host: next.val, version: outcome.val.version });
    }
    if (outcome.val.kind === "refused") {
      return fail(codes.commitRefused, outcome.val.message);
    }
  }
  return fail(
    codes.stateConflict,
    `host ${request.host} was changed during every attempt`,
  );
}

function drainWrites(
  before: Host,
  after: Host,
  budget: BudgetRow,
  ctx: ChangeContext,
): PlatformRowWrite[] {
  return [
    { key: hostKey(after.name), value: after },
    {
      key: budgetKey(before.pool),
      value: { ...budget, changes: budget.changes + 1 },
    },
    auditWrite({
      at: ctx.at,
      who: ctx.who,
      action: after.target === undefined ? "host.drain" : "host.move",
      subject: `host ${after.name}`,
      before,
      after,
      operation: ctx.operation,
    }),
  ];
}

/**
 * Reads the rows, the host list, and the health of the hosts in a host's pool.
 * Fails with `notFound`, or as the platform does.
 */
export async function readDecisionInputs(
  deps: DrainDependencies,
  request: Pick<DrainRequest, "host" | "target">,
): Promise<Result<DecisionInputs, Failure>> {
  const readAt = deps.clock.now();
  const rows = await deps.platform.table.read({
    prefixes: [hostKeyPrefix, "budget/", "table/row/pool/"],
  });
  if (rows.err) return rows;
  const listed = await deps.platform.listHosts();
  if (listed.err) return listed;
  const stored = decodeRows(hostSchema, rows.val, hostKeyPrefix);
  const host = stored.find((h) => h.value.name === request.host);
  if (host === undefined) {
    return fail(codes.notFound, `host ${request.host} does not exist`);
  }
  const { pool } = host.value;
  const poolRow = rows.val.find((r) => r.key === `table/row/pool/${pool}`);
  const targetFailure = missingTargetFailure(rows.val, request.target);
  if (targetFailure !== undefined) return targetFailure;
  const hosts = new Map(stored.map((h) => [h.value.name, h.value]));
  const budget = findBudgetRow(rows.val, pool);
  const live = listed.val.filter((h) => h.state === "live").map((h) => h.name);
  const view: PoolView = {
    pool,
    budget: minAvailableHosts(poolRow),
    hosts,
    unlisted: unlistedHosts(hosts, new Set(live)),
    failed: await probeFailedHosts(deps, hosts, pool),
    ejected: new Set(budget.value.ejected),
  };
  return Ok({
    readAt,
    host,
    view,
    budget,
    checks: [
      { key: host.key, version: host.version },
      { key: budget.key, version: budget.version },
      {
        key: `table/row/pool/${pool}`,
        version: poolRow?.version ?? 0,
      },
    ],
  });
}

/** The failure for a target pool that does not exist, or undefined. */
function missingTargetFailure(
  rows: readonly PlatformRow[],
  target: string | undefined,
) {
  if (target === undefined) return undefined;
  if (rows.some((r) => r.key === `table/row/pool/${target}`)) return undefined;
  return fail(codes.notFound, `pool ${target} does not exist`);
}

function findBudgetRow(
  rows: readonly PlatformRow[],
  pool: string,
): DecodedRow<BudgetRow> {
  const key = budgetKey(pool);
  const row = rows.find((r) => r.key === key);
  const decoded = row === undefined
    ? undefined
    : decodeRow(budgetRowSchema, row);
  if (decoded?.ok) return decoded.val;
  return { key, version: row?.version ?? 0, value: emptyBudget(pool) };
}

/** The budget in a pool's table row; 0 without a valid row. */
function minAvailableHosts(row: PlatformRow | undefined): number {
  if (row === undefined) return 0;
  const decoded = decodeRow(tableRowSchema, row);
  if (decoded.err || decoded.val.value.kind !== "pool") return 0;
  return decoded.val.value.budget;
}

function unlistedHosts(hosts: HostMap, live: ReadonlySet<string>) {
  return new Set([...hosts.keys()].filter((name) => !live.has(name)));
}

/** Checks the health of a pool's serving hosts; returns those that fail. */
async function probeFailedHosts(
  deps: DrainDependencies,
  hosts: HostMap,
  pool: string,
): Promise<ReadonlySet<string>> {
  const members = [...hosts.values()].filter((h) =>
    h.pool === pool && h.state === "serving"
  );
  const reports = await Promise.all(
    members.map(async (host) => {
      const health = await deps.endpoints.health(host);
      return health.ok && health.val.ok ? undefined : host.name;
    }),
  );
  return new Set(reports.filter((name) => name !== undefined));
}
