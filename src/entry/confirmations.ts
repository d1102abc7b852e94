/** Confirmations of host epochs, asked of this entry or of others. */
import type { Clock, IdSource } from "../clock/index.ts";
import type { FleetState } from "../fleet/index.ts";
import { isServing, type RegisteredEntry } from "../hosts/index.ts";
import type { Confirmer } from "../maintenance/index.ts";
import type { Member, Message, MessageOf } from "../peers/index.ts";

const confirmTimeoutMs = 600;

/** What confirmations need of the entry. */
export interface ConfirmationParts {
  readonly entry: string;
  readonly incarnation: string;
  readonly ids: IdSource;
  readonly clock: Clock;
  state(): FleetState;
  inFlight(host: string): number;
  members(): readonly Member[];
  send(entry: string, message: Message): boolean;
}

/** Asks for and gives confirmations. */
export class Confirmations implements Confirmer {
  #pending = new Map<string, (ok: boolean) => void>();

  constructor(private readonly parts: ConfirmationParts) {}

  /**
   * Whether this entry has applied a host's epoch, will send nothing to the
   * host at that epoch, and has nothing in flight to it.
   */
  isConfirmed(host: string, epoch: number): boolean {
    const hostRow = this.parts.state().hosts.get(host);
    if (hostRow === undefined || hostRow.epoch < epoch) return false;
    if (hostRow.epoch === epoch && isServing(hostRow)) return false;
    return this.parts.inFlight(host) === 0;
  }

  async confirm(
    entry: RegisteredEntry,
    host: string,
    epoch: number,
  ): Promise<boolean> {
    const { parts } = this;
    if (
      entry.entry === parts.entry && entry.incarnation === parts.incarnation
    ) {
      return this.isConfirmed(host, epoch);
    }
    const peer = parts.members().find((m) => m.hello.entry === entry.entry);
    if (peer?.hello.incarnation !== entry.incarnation) return false;
    const id = parts.ids.next();
    return await new Promise<boolean>((resolve) => {
      const cancelTimeout = parts.clock.after(
        confirmTimeoutMs,
        () => finish(false),
      );
      const finish = (ok: boolean) => {
        if (!this.#pending.delete(id)) return;
        cancelTimeout();
        resolve(ok);
      };
      this.#pending.set(id, finish);
      const message = { kind: "confirm", id, host, epoch } as const;
      if (!parts.send(entry.entry, message)) finish(false);
    });
  }

  /** Answers another entry's question. */
  handleRequest(entry: string, message: MessageOf<"confirm">): void {
    const { id, host, epoch } = message;
    const ok = this.isConfirmed(host, epoch);
    const inFlight = this.parts.inFlight(host);
    this.parts.send(entry, { kind: "confirmed", id, ok, inFlight });
  }

  /** Takes another entry's answer. */
  handleAnswer(message: MessageOf<"confirmed">): void {
    this.#pending.get(message.id)?.(message.ok);
  }
}
