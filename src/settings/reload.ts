/** Determines which changed settings a reload applies without a restart. */
import type { BatchSettings } from "./batch_settings.ts";

/** Sections whose settings a reload applies. */
const liveSections: readonly (keyof BatchSettings)[] = ["log"];

/** Keys of the settings that differ, as `section.key`. */
export interface SettingsChange {
  /** Applied by the reload. */
  readonly live: readonly string[];
  /** Applied after a restart only. */
  readonly atRestart: readonly string[];
}

/** Compares the current settings with reloaded ones. */
export function compareSettings(
  before: BatchSettings,
  after: BatchSettings,
): SettingsChange {
  const live: string[] = [];
  const atRestart: string[] = [];
  for (const section of Object.keys(after) as (keyof BatchSettings)[]) {
    const previousValues: Readonly<Record<string, unknown>> = before[section];
    const changedKeys = liveSections.includes(section) ? live : atRestart;
    for (const [key, value] of Object.entries(after[section])) {
      if (previousValues[key] !== value) changedKeys.push(`${section}.${key}`);
    }
  }
  return { live, atRestart };
}
