/**
 * Confirmations of host epochs: requests to other entries, and answers to
 * their requests.
 */
import type { Clock, IdSource } from "../clock/index.ts";
import type { FleetState } from "../fleet/index.ts";
import { isServing, type RegisteredEntry } from "../hosts/index.ts";
import type { Confirmer } from "../maintenance/index.ts";
import type { Message, MessageOf, PeerMember } from "../peers/index.ts";

/** Time in ms after which an unanswered request counts as not confirmed. */
const confirmTimeoutMs = 600;

/** Dependencies of `Confirmations`. */
export interface ConfirmationsDependencies {
  readonly entry: string;
  readonly incarnation: string;
  readonly ids: IdSource;
  readonly clock: Clock;
  state(): FleetState;
  /** Number of requests in flight from this entry to a host. */
  inFlight(host: string): number;
  /** The entries that are connected to this one. */
  members(): readonly PeerMember[];
  /** Sends a message; false when the entry is not connected. */
  send(entry: string, message: Message): boolean;
}

/** Requests confirmations from other entries and answers their requests. */
export class Confirmations implements Confirmer {
  /** Callbacks of the requests that wait for an answer, by request id. */
  #pending = new Map<string, (ok: boolean) => void>();

  constructor(private readonly deps: ConfirmationsDependencies) {}

  /**
   * Whether this entry has applied the host's epoch, sends no work to the host
   * at that epoch, and has no work in flight to it.
   */
  isConfirmed(host: string, epoch: number): boolean {
    const hostRow = this.deps.state().hosts.get(host);
    if (hostRow === undefined || hostRow.epoch < epoch) return false;
    if (hostRow.epoch === epoch && isServing(hostRow)) return false;
    return this.deps.inFlight(host) === 0;
  }

  /**
   * Asks one incarnation of an entry for its confirmation. False when the
   * entry refuses, is not connected with that incarnation, or does not answer
   * in time.
   */
  async confirm(
    entry: RegisteredEntry,
    host: string,
    epoch: number,
  ): Promise<boolean> {
    const { deps } = this;
    if (
      entry.entry === deps.entry && entry.incarnation === deps.incarnation
    ) {
      return this.isConfirmed(host, epoch);
    }
    const peer = deps.members().find((m) => m.hello.entry === entry.entry);
    if (peer?.hello.incarnation !== entry.incarnation) return false;
    const id = deps.ids.next();
    return await new Promise<boolean>((resolve) => {
      const cancelTimer = deps.clock.after(
        confirmTimeoutMs,
        () => finish(false),
      );
      const finish = (ok: boolean) => {
        if (!this.#pending.delete(id)) return;
        cancelTimer();
        resolve(ok);
      };
      this.#pending.set(id, finish);
      const message = { kind: "confirm", id, host, epoch } as const;
      if (!deps.send(entry.entry, message)) finish(false);
    });
  }

  /** Answers another entry's confirmation request. */
  handleRequest(entry: string, message: MessageOf<"confirm">): void {
    const { id, host, epoch } = message;
    const ok = this.isConfirmed(host, epoch);
    const inFlight = this.deps.inFlight(host);
    this.deps.send(entry, { kind: "confirmed", id, ok, inFlight });
  }

  /** Resolves the request that another entry's answer belongs to. */
  handleAnswer(message: MessageOf<"confirmed">): void {
    this.#pending.get(message.id)?.(message.ok);
  }
}
