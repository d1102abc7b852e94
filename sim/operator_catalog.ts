/** The operator's catalog in a simulation, and its changes. */
import type { Resources } from "../src/batch/index.ts";
import type { Catalog } from "../src/catalog/index.ts";
import { poolNames, queueForPool } from "./pools.ts";
import type { QuotaCheck } from "./quota_check.ts";
import {
  type Limits,
  type WorkspaceName,
  workspacesWith,
} from "./workspaces.ts";

/** The operator's first catalog. */
const firstCatalog: Catalog = {
  version: 1,
  queues: poolNames.slice(0, -1).map(queueForPool),
  pools: poolNames.map((name) => ({ name, standby: name === "spare" })),
  maxBodyBytes: 100_000,
};

/** Holds the newest version of the catalog; each change makes a new one. */
export class OperatorCatalog {
  #newest = firstCatalog;
  #limits: Limits = {};

  /** @param quota Check of the limits, which learns of each change. */
  constructor(private readonly quota: QuotaCheck) {}

  /** The newest version. */
  get newest(): Catalog {
    return this.#newest;
  }

  /** Sends a queue to another pool. */
  sendQueue(queue: string, pool: string): void {
    const queues = this.#newest.queues.map((each) =>
      each.name === queue ? { ...each, pool } : each
    );
    this.#change({ queues });
  }

  /** Sets the limit of a workspace. */
  setLimit(workspace: WorkspaceName, limit: Resources): void {
    this.defineLimits({ ...this.#limits, [workspace]: limit });
  }

  /** Replaces the limits of all workspaces. */
  defineLimits(limits: Limits): void {
    this.#limits = limits;
    this.#change({ workspaces: workspacesWith(limits) });
    for (const { name, limit } of this.#newest.workspaces?.all() ?? []) {
      this.quota.limitSet(name, limit);
    }
  }

  #change(changes: Partial<Catalog>): void {
    const version = this.#newest.version + 1;
    this.#newest = { ...this.#newest, ...changes, version };
  }
}
