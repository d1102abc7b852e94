/**
 * Asks endpoints whether they are the incarnation that their registration
 * names, because a registration may be out of date or of another writer.
 */
import { delay } from "../clock/index.ts";
import type { TaskEndpoint } from "../endpoint/index.ts";
import type { DriverDependencies } from "./driver_dependencies.ts";

/** Minimum time between two questions to an endpoint, in ms. */
const questionIntervalMs = 250;

/** Checks the incarnations of one shard's endpoints. */
export class IncarnationCheck {
  /** Ids of endpoints that have been asked less than an interval ago. */
  readonly #asked = new Set<string>();

  constructor(
    private readonly deps: Pick<
      DriverDependencies,
      "orders" | "lease" | "clock" | "log" | "shard" | "onOwnerFenced"
    >,
  ) {}

  /**
   * Whether the endpoint answers as the registered incarnation; false if it does
   * not, has no answer, or was asked a short time ago. The question extends no
   * lease and discards no end.
   */
  async isConfirmed(endpoint: TaskEndpoint): Promise<boolean> {
    const { orders, lease, log, shard } = this.deps;
    const { id, life } = endpoint;
    if (this.#asked.has(id)) return false;
    this.#asked.add(id);
    this.#forgetLater(id);
    const question = { term: lease.term, recordedSeq: 0, waitMs: 0 };
    const outcome = await orders.hold(endpoint, question);
    const isFenced = outcome.kind === "rejected" && outcome.reason === "fenced";
    if (isFenced) this.deps.onOwnerFenced();
    const answeredLife = outcome.kind === "lists"
      ? outcome.lists.life
      : undefined;
    const confirmed = answeredLife === life;
    log.decision("incarnation-checked", {
      shard,
      term: lease.term,
      endpoint: id,
      life,
      answeredLife,
      confirmed,
    });
    return confirmed;
  }

  async #forgetLater(id: string): Promise<void> {
    await delay(this.deps.clock, questionIntervalMs);
    this.#asked.delete(id);
  }
}
