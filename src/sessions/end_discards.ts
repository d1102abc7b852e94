/**
 * Sends the holds that let an endpoint discard its recorded ends, and keeps track
 * of those that may reach a later incarnation than they are meant for.
 */
import type {
  HoldOrder,
  HoldOutcome,
  TaskEndpoint,
} from "../endpoint/index.ts";
import type { DriverDependencies } from "./driver_dependencies.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import { UnconfirmedDiscards } from "./unconfirmed_discards.ts";

/**
 * Time without an answer from which a discard is stored as unconfirmed, in ms. An
 * owner that ends sooner leaves its successor without knowledge of it.
 */
const slowDiscardMs = 50;

/** The discards of one shard's endpoints. */
export class EndDiscards {
  /** Incarnations that may discard ends unread. */
  readonly unconfirmed = new UnconfirmedDiscards();

  constructor(
    private readonly deps: Pick<
      DriverDependencies,
      "orders" | "clock" | "log" | "shard" | "lease" | "onDiscardUnconfirmed"
    >,
  ) {}

  /**
   * Sends a hold that lets the endpoint discard ends. No start is sent until it
   * has an outcome. It is unconfirmed unless the session's incarnation answers it,
   * or it is rejected.
   */
  async send(session: EndpointSession, order: HoldOrder): Promise<HoldOutcome> {
    const { orders, clock } = this.deps;
    const { endpoint, discardGate } = session;
    discardGate.beginDiscard();
    const cancel = clock.after(slowDiscardMs, () => {
      discardGate.markSlow();
      this.unconfirmed.markSlow(endpoint);
      this.#store(endpoint);
    });
    const outcome = await orders.hold(endpoint, order);
    cancel();
    this.#settle(session, order.recordedSeq, outcome);
    discardGate.endDiscard();
    return outcome;
  }

  /** Counts a discard that is on its way as unconfirmed, as its session ends. */
  endSession({ endpoint, discardGate }: EndpointSession): void {
    if (discardGate.isDiscarding) this.#addUnconfirmed(endpoint);
  }

  /** Notes what has become of the ends up to `recordedSeq`. */
  #settle(
    session: EndpointSession,
    recordedSeq: number,
    outcome: HoldOutcome,
  ): void {
    const { endpoint } = session;
    if (outcome.kind === "rejected") return this.unconfirmed.confirm(endpoint);
    if (outcome.kind === "lists" && outcome.lists.life === endpoint.life) {
      session.discardedEndSeq = recordedSeq;
      return this.unconfirmed.confirm(endpoint);
    }
    // A start that waits for the outcome must not be sent any more.
    session.recordNoAnswer(this.deps.clock.now());
    if (outcome.kind === "lists") {
      const { life } = outcome.lists;
      this.unconfirmed.noteForeignDiscard({ id: endpoint.id, life });
      this.#logOtherLife(endpoint, life, recordedSeq);
    }
    this.#addUnconfirmed(endpoint);
  }

  #addUnconfirmed(endpoint: TaskEndpoint): void {
    this.unconfirmed.add(endpoint, this.deps.clock.now());
    this.#store(endpoint);
  }

  /** Has an unconfirmed discard stored, unless it has been. */
  #store(endpoint: TaskEndpoint): void {
    if (!this.unconfirmed.isStored(endpoint)) this.deps.onDiscardUnconfirmed();
  }

  /** Logs that another incarnation has discarded the ends of the session's. */
  #logOtherLife(
    { id, life }: TaskEndpoint,
    answeredLife: number,
    recordedSeq: number,
  ): void {
    const { log, shard, lease } = this.deps;
    log.decision("ends-discarded-by-other-life", {
      shard,
      term: lease.term,
      endpoint: id,
      life,
      answeredLife,
      recordedSeq,
    });
  }
}
