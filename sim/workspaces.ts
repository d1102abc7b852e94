/** Workspaces of the simulation. */
import { noResources, type Resources } from "../src/batch/index.ts";
import { WorkspaceDirectory } from "../src/workspaces/index.ts";

/** Names of the workspaces. */
export const workspaceNames = ["acme", "zenith"] as const;

/** One of `workspaceNames`. */
export type WorkspaceName = typeof workspaceNames[number];

/** Limits by workspace; one without an entry has none. */
export type Limits = Readonly<Partial<Record<WorkspaceName, Resources>>>;

/** The workspaces with some limits. */
export function workspacesWith(limits: Limits): WorkspaceDirectory {
  return new WorkspaceDirectory(workspaceNames.map((name) => ({
    name,
    keys: [],
    weight: undefined,
    limit: limits[name] ?? noResources,
  })));
}

/** A limit on CPU alone, in thousandths of a core. */
export function cpuLimit(cpuMillis: number): Resources {
  return { ...noResources, cpuMillis };
}
