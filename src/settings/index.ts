/** Settings of entries: schemas, loading and comparison. */
export {
  loadSettings,
  parseSettings,
  type Settings,
  settingsSchema,
} from "./settings.ts";
export {
  type BatchSettings,
  batchSettingsSchema,
  connectionLimits,
  isBatchSettings,
  loadBatchSettings,
  parseBatchSettings,
} from "./batch_settings.ts";
export { compareSettings, type SettingsChange } from "./reload.ts";
