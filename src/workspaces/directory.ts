/**
 * The workspaces of one version of the catalog, found by name and by key. A
 * name or a key that two workspaces claim belongs to the first one.
 */
import type { KeyDigest, Workspace } from "./workspace.ts";
import { digestKey } from "./workspace.ts";

/** A claim that was left out because another workspace has made it before. */
export interface WorkspaceConflict {
  /** Name of the workspace whose claim was left out. */
  readonly workspace: string;
  readonly reason: "duplicate-name" | "duplicate-key";
}

/** Finds workspaces by name and by key. */
export class WorkspaceDirectory {
  /** Claims that were left out. */
  readonly conflicts: readonly WorkspaceConflict[];
  readonly #byName = new Map<string, Workspace>();
  readonly #byKey = new Map<KeyDigest, Workspace>();

  constructor(workspaces: readonly Workspace[]) {
    const conflicts: WorkspaceConflict[] = [];
    for (const workspace of workspaces) {
      const { name } = workspace;
      if (this.#byName.has(name)) {
        conflicts.push({ workspace: name, reason: "duplicate-name" });
        continue;
      }
      this.#byName.set(name, workspace);
      if (!this.#addKeys(workspace)) {
        conflicts.push({ workspace: name, reason: "duplicate-key" });
      }
    }
    this.conflicts = conflicts;
  }

  /** All workspaces. */
  all(): readonly Workspace[] {
    return [...this.#byName.values()];
  }

  /** The workspace of a name. */
  byName(name: string): Workspace | undefined {
    return this.#byName.get(name);
  }

  /** The workspace that a key belongs to; undefined for an unknown key. */
  ofKey(key: string): Workspace | undefined {
    return this.#byKey.get(digestKey(key));
  }

  /** Adds a workspace's keys; false if another one has any of them. */
  #addKeys(workspace: Workspace): boolean {
    let areAllFree = true;
    for (const key of workspace.keys) {
      const owner = this.#byKey.get(key);
      if (owner === undefined) this.#byKey.set(key, workspace);
      else if (owner !== workspace) areAllFree = false;
    }
    return areAllFree;
  }
}
