/** What a reload of the settings changes, and what only a restart does. */
import type { BatchSettings } from "./batch_settings.ts";

/** Sections whose keys take effect at once. */
const liveSections: readonly (keyof BatchSettings)[] = ["log"];

/** Keys that differ between two settings. */
export interface SettingsChange {
  /** In force from the reload on. */
  readonly live: readonly string[];
  /** In force after the next start. */
  readonly atRestart: readonly string[];
}

/** Compares the settings in force with those that were read anew. */
export function compareSettings(
  before: BatchSettings,
  after: BatchSettings,
): SettingsChange {
  const live: string[] = [];
  const atRestart: string[] = [];
  for (const section of Object.keys(after) as (keyof BatchSettings)[]) {
    const old: Readonly<Record<string, unknown>> = before[section];
    const names = liveSections.includes(section) ? live : atRestart;
    for (const [key, value] of Object.entries(after[section])) {
      if (old[key] !== value) names.push(`${section}.${key}`);
    }
  }
  return { live, atRestart };
}
