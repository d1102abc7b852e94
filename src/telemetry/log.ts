/** Log of an entry as JSON lines on standard output. */
import bunyan from "bunyan";
import type { EndedRequest } from "../caller/index.ts";
import { codes } from "../errors/index.ts";
import type { Settings } from "../settings/index.ts";

/** The logger of an entry. */
export type Log = bunyan;

/** Creates the logger of an entry, at the level that its settings state. */
export function createLog(settings: Settings): Log {
  return bunyan.createLogger({
    name: "briartide",
    level: settings.log.level ?? "info",
    entry: settings.entry.id,
    zone: settings.entry.zone,
  });
}

/**
 * Logs the end of a request if `mode` includes it. Bodies are never logged.
 * The mode `failed` leaves out requests that succeeded or were accepted.
 */
export function logRequest(
  log: Log,
  mode: Settings["log"]["requests"],
  end: EndedRequest,
): void {
  const succeeded = end.code === codes.ok || end.code === codes.accepted;
  if (mode === "none" || (mode === "failed" && succeeded)) return;
  log.info({
    requestId: end.requestId,
    class: end.class,
    code: end.code.code,
    run: end.code.run,
    ms: Math.round(end.ms),
    attempts: end.attempts,
    host: end.host,
  }, "request");
}
