/** Workspaces: the customers that share a fleet. */
export { AccessControl, type CallerAccess } from "./caller_access.ts";
export { type WorkspaceConflict, WorkspaceDirectory } from "./directory.ts";
export {
  digestKey,
  isLimited,
  type KeyDigest,
  maxKeyChars,
  maxWorkspaceNameChars,
  type Workspace,
} from "./workspace.ts";
