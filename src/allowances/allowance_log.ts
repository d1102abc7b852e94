/** Logs the decisions on allowances. */
import { noResources } from "../batch/index.ts";
import type { StoreFailure } from "../store/index.ts";
import type { DecisionFields } from "../telemetry/index.ts";
import { type Allowance, heldByOthers, holdingOf } from "./allowance_row.ts";
import type { SeenAllowance } from "./allowance_view.ts";
import { isLowerLimit, isSameAmount, resourceNames } from "./amounts.ts";
import type { AllowanceDependencies } from "./pool_allowances.ts";

/** Minimum time between two `allowance-short` decisions of a workspace, in ms. */
const shortIntervalMs = 1_000;

/** The log of one pool's allowances. */
export class AllowanceLog {
  /** Monotonic time in ms of the last `allowance-short`, by workspace. */
  readonly #shortLoggedAt = new Map<string, number>();

  constructor(
    private readonly deps: Pick<
      AllowanceDependencies,
      "shard" | "lease" | "log"
    >,
  ) {}

  /** Logs that a limit holds tasks back, once a second at most. */
  short(workspace: string, seen: SeenAllowance, now: number): void {
    const loggedAt = this.#shortLoggedAt.get(workspace) ?? -Infinity;
    if (now - loggedAt < shortIntervalMs) return;
    this.#shortLoggedAt.set(workspace, now);
    const { allowance, version } = seen;
    this.#decide("allowance-short", workspace, allowance, {
      version,
      undeclared: allowance?.undeclaredPools.length,
    });
  }

  /** Logs what a committed change of a row means for the pool. */
  changed(
    workspace: string,
    before: Allowance | undefined,
    next: Allowance | undefined,
    version: number,
  ): void {
    if (next === undefined) {
      this.#decide("allowance-removed", workspace, before, { version });
      return;
    }
    if (before !== undefined && isLowerLimit(next.limit, before.limit)) {
      this.#decide("allowance-lowered", workspace, next, { version });
    }
    const { shard } = this.deps;
    const held = before && holdingOf(before, shard)?.amount || noResources;
    const holds = holdingOf(next, shard)?.amount ?? noResources;
    if (isSameAmount(held, holds)) return;
    const isRaised = resourceNames.some((name) => holds[name] > held[name]);
    const event = isRaised ? "allowance-taken" : "allowance-given-back";
    this.#decide(event, workspace, next, {
      version,
      fromCpu: held.cpuMillis,
      fromMemoryMb: held.memoryMb,
      fromGpus: held.gpus,
    });
  }

  /** Logs that a transaction was not confirmed. */
  writeFailed({ kind, message }: StoreFailure): void {
    const { shard, lease, log } = this.deps;
    const fields = { shard, term: lease.term, reason: kind, message };
    log.decision("allowance-write-failed", fields);
  }

  #decide(
    event: string,
    workspace: string,
    allowance: Allowance | undefined,
    fields: DecisionFields,
  ): void {
    const { shard, lease, log } = this.deps;
    const own = allowance && holdingOf(allowance, shard)?.amount;
    const others = allowance && heldByOthers(allowance, shard);
    log.decision(event, {
      shard,
      term: lease.term,
      workspace,
      limitVersion: allowance?.limitVersion,
      limitCpu: allowance?.limit.cpuMillis,
      limitMemoryMb: allowance?.limit.memoryMb,
      limitGpus: allowance?.limit.gpus,
      heldCpu: own?.cpuMillis,
      heldMemoryMb: own?.memoryMb,
      heldGpus: own?.gpus,
      othersCpu: others?.cpuMillis,
      othersMemoryMb: others?.memoryMb,
      othersGpus: others?.gpus,
      shortPools: allowance?.shortPools.length,
      ...fields,
    });
  }
}
