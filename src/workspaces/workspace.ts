/**
 * Workspaces: the customers that share a fleet. A workspace has keys, with which
 * its callers identify it, a share of the fleet and a limit on what it may have
 * running.
 */
import { createHash } from "node:crypto";
import type { Resources } from "../batch/index.ts";

/** Longest name of a workspace, in characters. */
export const maxWorkspaceNameChars = 200;

/** Longest key, in characters; a request's headers hold no longer one. */
export const maxKeyChars = 8_192;

/** Digest of a key. Keys themselves are kept nowhere and are never logged. */
export type KeyDigest = string;

/** Returns the digest by which a key is recognized. */
export function digestKey(key: string): KeyDigest {
  return createHash("sha256").update(key).digest("base64");
}

/** One workspace as the operator has defined it. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly KeyDigest[];
  /**
   * Share of the workspace when the fleet is full: the rate of its jobs, per
   * second, up to which they rank with those of others. Undefined for no bound.
   */
  readonly weight: number | undefined;
  /**
   * The most that its tasks may have running on all endpoints together. An
   * amount of 0 means no limit.
   */
  readonly limit: Resources;
}

/** Whether a workspace has a limit on any resource. */
export function isLimited({ limit }: Pick<Workspace, "limit">): boolean {
  return limit.cpuMillis > 0 || limit.memoryMb > 0 || limit.gpus > 0;
}
