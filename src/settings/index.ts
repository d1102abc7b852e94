/** Settings of an entry. */
export {
  loadSettings,
  parseSettings,
  type Settings,
  settingsSchema,
} from "./settings.ts";
