/**
 * Checks a catalog before it is put in force: entries that can never match, and
 * settings that contradict each other. It assumes a catalog that can be decoded.
 */
import type { Catalog, Pool, Queue } from "./catalog.ts";
import { isLimited, type Workspace } from "../workspaces/index.ts";

/** A finding about one entry of a catalog. */
export interface CatalogFinding {
  /** `error`: the entry can't work; `warning`: it may not do what is meant. */
  readonly severity: "error" | "warning";
  /** The entry, such as `queue orders`. */
  readonly entry: string;
  readonly message: string;
}

/** Returns the values that occur more than once. */
function repeated(values: readonly string[]): ReadonlySet<string> {
  const seen = new Set<string>();
  return new Set(values.filter((value) => {
    const isRepeated = seen.has(value);
    seen.add(value);
    return isRepeated;
  }));
}

/** Why no request can match a queue by itself; undefined if one can. */
function whyUnmatchable({ authority, prefix }: Queue): string | undefined {
  if (authority === "") return "has no host name, so no request matches it";
  if (/:\d+$/.test(authority)) {
    return "has a host name with a port, which requests are matched without";
  }
  if (!prefix.startsWith("/")) return "has a prefix that no path begins with";
  if (prefix.includes("?")) return "has a prefix with a query, never matched";
  return undefined;
}

/** Messages about the pool that serves a queue. */
function checkPool(queue: Queue, pools: readonly Pool[]): readonly string[] {
  const pool = pools.find(({ name }) => name === queue.pool);
  if (pool === undefined) return [`leads to no pool: ${queue.pool}`];
  return pool.standby
    ? [`leads to the pool ${queue.pool}, whose hosts are off`]
    : [];
}

/** Messages about limits of a queue that no job can keep. */
function checkQueueLimits(
  { maxAttempts, sloMs, stretch }: Queue,
): readonly string[] {
  const messages: string[] = [];
  if (maxAttempts < 1) {
    messages.push("allows no attempt, so the first failure fails the job");
  }
  if (sloMs < 0) messages.push("has an objective below 0");
  if (stretch < 1 && sloMs <= 0) {
    messages.push("has an objective that is shorter than the work itself");
  }
  return messages;
}

/** Findings about the queues of a catalog. */
function checkQueues(
  { queues, pools }: Catalog,
): readonly CatalogFinding[] {
  const findings: CatalogFinding[] = [];
  const taken = new Map<string, Queue>();
  for (const queue of queues) {
    const entry = `queue ${queue.name}`;
    const error = (message: string) =>
      findings.push({ severity: "error", entry, message });
    const unmatchable = whyUnmatchable(queue);
    if (unmatchable !== undefined) error(unmatchable);
    const address = queue.authority + queue.prefix;
    const first = taken.get(address);
    if (first === undefined) taken.set(address, queue);
    else error(`is never matched: ${first.name} has the same host and prefix`);
    checkPool(queue, pools).forEach(error);
    checkQueueLimits(queue).forEach(error);
  }
  return findings;
}

/** Findings about the pools of a catalog. */
function checkPools({ queues, pools }: Catalog): readonly CatalogFinding[] {
  const used = new Set(queues.map(({ pool }) => pool));
  return pools
    .filter(({ name, standby }) => !standby && !used.has(name))
    .map(({ name }) => ({
      severity: "warning",
      entry: `pool ${name}`,
      message: "is served by hosts, and no queue leads to it",
    }));
}

/** Messages about one workspace. */
function checkWorkspace(
  { keys, weight, limit }: Workspace,
  hasKeyedQueues: boolean,
): readonly string[] {
  const messages: string[] = [];
  if (hasKeyedQueues && keys.length === 0) {
    messages.push("has no key, so its callers reach public queues only");
  }
  if (weight === undefined) messages.push("has no weight, so no bound applies");
  const { cpuMillis, memoryMb } = limit;
  const hasOneOnly = (cpuMillis > 0) !== (memoryMb > 0);
  if (isLimited({ limit }) && hasOneOnly) {
    const unlimited = cpuMillis > 0 ? "memory" : "CPU";
    messages.push(`has a limit, but none on ${unlimited}`);
  }
  return messages;
}

/** Findings about the workspaces of a catalog. */
function checkWorkspaces(
  { queues, workspaces }: Catalog,
): readonly CatalogFinding[] {
  const hasKeyedQueues = queues.some(({ isPublic }) => !isPublic);
  if (workspaces === undefined) return [];
  const findings: CatalogFinding[] = [];
  for (const workspace of workspaces.all()) {
    const entry = `workspace ${workspace.name}`;
    for (const message of checkWorkspace(workspace, hasKeyedQueues)) {
      findings.push({ severity: "warning", entry, message });
    }
  }
  return findings;
}

/** Findings about names that more than one entry has. */
function checkNames({ queues, pools }: Catalog): readonly CatalogFinding[] {
  const findings: CatalogFinding[] = [];
  const report = (kind: string, names: readonly string[]) => {
    for (const name of repeated(names)) {
      const message = "has the name of another one";
      findings.push({ severity: "error", entry: `${kind} ${name}`, message });
    }
  };
  report("queue", queues.map(({ name }) => name));
  report("pool", pools.map(({ name }) => name));
  return findings;
}

/** Checks a catalog; errors first. */
export function checkCatalog(catalog: Catalog): readonly CatalogFinding[] {
  const findings = [
    ...checkNames(catalog),
    ...checkQueues(catalog),
    ...checkPools(catalog),
    ...checkWorkspaces(catalog),
  ];
  const isError = ({ severity }: CatalogFinding) => severity === "error";
  return [
    ...findings.filter(isError),
    ...findings.filter((finding) => !isError(finding)),
  ];
}
