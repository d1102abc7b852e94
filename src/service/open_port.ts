/**
 * Opens the ports of an entry. A port may be taken for a while by a process that
 * is ending or by an outgoing connection, so opening it is tried again.
 */
import { type Clock, delay } from "../clock/index.ts";
import type { DecisionLog } from "../telemetry/index.ts";

/** Pause before a port is tried again, in ms. */
const retryPauseMs = 200;

/** Time after which opening a port is given up, in ms. */
const maxWaitMs = 15_000;

/** Codes of the errors that may pass. */
const passingErrorCodes = new Set(["EADDRINUSE", "EADDRNOTAVAIL", "EMFILE"]);

/** What {@link openPort} needs. */
export interface OpenPortDependencies {
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/**
 * Calls `open` until it opens the port of that name and address. Rejects with
 * its error if that is not one that may pass, or has not passed in time.
 */
export async function openPort<T>(
  { clock, log }: OpenPortDependencies,
  name: string,
  address: string,
  open: () => Promise<T>,
): Promise<T> {
  const startedAt = clock.now();
  let isLogged = false;
  for (;;) {
    try {
      const opened = await open();
      const waitedMs = Math.round(clock.now() - startedAt);
      if (isLogged) log.decision("port-opened", { name, address, waitedMs });
      return opened;
    } catch (err) {
      const { code = "" } = err as NodeJS.ErrnoException;
      const isOver = clock.now() - startedAt >= maxWaitMs;
      if (isOver || !passingErrorCodes.has(code)) throw err;
      if (!isLogged) log.decision("port-taken", { name, address, code });
      isLogged = true;
    }
    await delay(clock, retryPauseMs);
  }
}
