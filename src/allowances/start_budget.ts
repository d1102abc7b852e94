/**
 * What the tasks of limited workspaces may start in one placement pass.
 */
import {
  addResources,
  multiplyResources,
  noResources,
  type Resources,
} from "../batch/index.ts";
import { limitedNeeds } from "./amounts.ts";
import type { Shortage } from "./next_allowance.ts";

/** What a pool may start of a limited workspace. */
export interface WorkspaceRoom {
  readonly limit: Resources;
  /** What the pool holds, as the store has confirmed. */
  readonly held: Resources;
  /** What the other pools hold. */
  readonly others: Resources;
  /**
   * Usage from which the pool starts nothing, so that others get what its runs
   * free; undefined while no other pool is short.
   */
  readonly share: Resources | undefined;
  /** Resources of the pool's runs that may be in progress. */
  readonly used: Resources;
  /** Whether anything may start; false while the limit isn't known for sure. */
  readonly isOpen: boolean;
}

/** A workspace's room within one pass. */
interface PassRoom {
  readonly room: WorkspaceRoom;
  used: Resources;
  shortage: Shortage | undefined;
}

/** State of a budget that can be restored. */
export type BudgetSnapshot = ReadonlyMap<PassRoom, Resources>;

/** The budget of one placement pass. */
export class StartBudget {
  readonly #rooms = new Map<string, PassRoom | undefined>();
  readonly #heldBackJobs = new Set<string>();

  /**
   * @param roomOf Returns the room of a workspace; undefined without a limit.
   */
  constructor(
    private readonly roomOf: (
      workspace: string,
    ) => WorkspaceRoom | undefined,
  ) {}

  /** Jobs of which tasks were held back by a limit. */
  get heldBackJobs(): ReadonlySet<string> {
    return this.#heldBackJobs;
  }

  /** What was held back that could have started, by workspace. */
  shortages(): ReadonlyMap<string, Shortage> {
    const shortages = new Map<string, Shortage>();
    for (const [workspace, passRoom] of this.#rooms) {
      const shortage = passRoom?.shortage;
      if (shortage !== undefined) shortages.set(workspace, shortage);
    }
    return shortages;
  }

  /** Whether a task may start now; always for a workspace without a limit. */
  allows(workspace: string | undefined, demand: Resources): boolean {
    const passRoom = this.#passRoom(workspace);
    return passRoom === undefined ||
      (!hasUsedShare(passRoom, demand) && fitsHolding(passRoom, demand));
  }

  /** Whether a task is larger than what all pools together have left. */
  isExhausted(workspace: string | undefined, demand: Resources): boolean {
    const passRoom = this.#passRoom(workspace);
    if (passRoom === undefined || !passRoom.room.isOpen) return false;
    const { room: { limit, others }, used } = passRoom;
    return limitedNeeds(limit, demand).some((name) =>
      others[name] + used[name] + demand[name] > limit[name]
    );
  }

  /**
   * Counts a task as started if it may start; returns whether it may. A task
   * that follows others of its gang may go beyond the pool's share.
   */
  take(
    workspace: string | undefined,
    demand: Resources,
    followsInGang = false,
  ): boolean {
    const passRoom = this.#passRoom(workspace);
    if (passRoom === undefined) return true;
    if (!followsInGang && hasUsedShare(passRoom, demand)) return false;
    if (!fitsHolding(passRoom, demand)) return false;
    passRoom.used = addResources(passRoom.used, demand);
    return true;
  }

  /** Saves what has been taken. */
  save(): BudgetSnapshot {
    const rooms = [...this.#rooms.values()].filter((each) =>
      each !== undefined
    );
    return new Map(rooms.map((each) => [each, each.used]));
  }

  /** Gives back what was taken since a snapshot. */
  restore(snapshot: BudgetSnapshot): void {
    for (const passRoom of this.#rooms.values()) {
      if (passRoom === undefined) continue;
      passRoom.used = snapshot.get(passRoom) ?? passRoom.room.used;
    }
  }

  /** Records that a limit holds tasks of a job back. */
  holdBack(job: string): void {
    this.#heldBackJobs.add(job);
  }

  /**
   * Records that `count` tasks would have an endpoint, but for the limit. Those
   * of a gang start together.
   */
  addShortage(
    workspace: string | undefined,
    task: Resources,
    count: number,
    isGang: boolean,
  ): void {
    const passRoom = this.#passRoom(workspace);
    if (passRoom === undefined) return;
    const all = multiplyResources(task, count);
    const { shortage } = passRoom;
    passRoom.shortage = shortage === undefined
      ? { total: all, first: isGang ? all : task, task }
      : { ...shortage, total: addResources(shortage.total, all) };
  }

  /** Whether a shortage of a workspace has been recorded. */
  hasShortage(workspace: string | undefined): boolean {
    return this.#passRoom(workspace)?.shortage !== undefined;
  }

  #passRoom(workspace: string | undefined): PassRoom | undefined {
    if (workspace === undefined) return undefined;
    if (!this.#rooms.has(workspace)) {
      const room = this.roomOf(workspace);
      const used = room?.used ?? noResources;
      const passRoom = room && { room, used, shortage: undefined };
      this.#rooms.set(workspace, passRoom);
    }
    return this.#rooms.get(workspace);
  }
}

/** A budget without limits. */
export function unlimitedBudget(): StartBudget {
  return new StartBudget(() => undefined);
}

/** Whether a pool uses its share of a resource that the task needs. */
function hasUsedShare({ room, used }: PassRoom, demand: Resources): boolean {
  const { limit, share } = room;
  return share !== undefined &&
    limitedNeeds(limit, demand).some((name) => used[name] >= share[name]);
}

/**
 * Whether a task fits into what the pool holds, and the workspace is below its
 * limit. The second matters after the limit was lowered.
 */
function fitsHolding({ room, used }: PassRoom, demand: Resources): boolean {
  const { limit, held, others, isOpen } = room;
  if (!isOpen) return false;
  return limitedNeeds(limit, demand).every((name) =>
    used[name] + demand[name] <= held[name] &&
    others[name] + used[name] < limit[name]
  );
}
