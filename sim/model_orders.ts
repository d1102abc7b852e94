/**
 * Model of the network between entries and endpoints. An order goes to the
 * endpoint that is up at its address when it arrives. The endpoint only checks
 * the id that the order names, so that an order sent to an earlier incarnation
 * is carried out by the next one.
 */
import type {
  HoldOrder,
  HoldOutcome,
  OrderOutcome,
  StartOrder,
  StopOrder,
  TaskEndpoint,
  TaskOrders,
} from "../src/endpoint/index.ts";
import { type ModelEndpoint, rejected } from "./model_endpoint.ts";
import type { ProcessClock, VirtualClock } from "./virtual_clock.ts";

/** Shortest network delay of an order or of its answer, in ms. */
const minOneWayDelayMs = 1;

/** Timeout of an order, in ms; a hold adds the wait that it asks for. */
const orderTimeoutMs = 1_000;

/** Longest delay of an order that takes effect late, in ms. */
const maxLateDelayMs = 4_000;

/**
 * Orders that something on the way keeps: the sender gets no answer, and
 * whichever incarnation is up at the address some time later carries them out.
 */
export interface KeptOrders {
  /** Share of start and stop orders that are kept. */
  readonly share: number;
  /** Shortest time from the sending to the delivery, in ms. */
  readonly minMs: number;
  /** Longest time from the sending to the delivery, in ms. */
  readonly maxMs: number;
}

/** Share of orders to an endpoint that is down whose sender learns of it. */
const refusedShare = 0.5;

const noAnswer = { kind: "unknown", message: "no answer" } as const;

/** State of the network that all processes share. */
export class ModelNetwork {
  /**
   * Longest time in ms by which orders and answers are delayed beyond
   * {@link minOneWayDelayMs}. Each delay is drawn by itself, so that orders
   * and answers overtake each other.
   */
  maxExtraDelayMs = 0;
  /** Orders that are kept on their way; undefined for none. */
  kept: KeptOrders | undefined;
  /** Deliveries that wait for an endpoint to be up at an address. */
  readonly #waiting = new Map<string, (() => void)[]>();

  /** `endpointAt` finds the endpoint that is up at an address. */
  constructor(
    readonly clock: VirtualClock,
    readonly random: () => number,
    readonly endpointAt: (address: string) => ModelEndpoint | undefined,
  ) {}

  /** Draws the delay of an order or of an answer, in ms. */
  drawDelayMs(): number {
    if (this.maxExtraDelayMs === 0) return minOneWayDelayMs;
    return minOneWayDelayMs + this.random() * this.maxExtraDelayMs;
  }

  /** Draws for how long an order is kept, in ms; undefined if it is not. */
  drawKeptMs(): number | undefined {
    const { kept, random } = this;
    if (kept === undefined || random() >= kept.share) return undefined;
    return kept.minMs + random() * (kept.maxMs - kept.minMs);
  }

  /** Calls `deliver` once an endpoint boots at an address. */
  awaitBoot(address: string, deliver: () => void): void {
    const waiting = this.#waiting.get(address) ?? [];
    waiting.push(deliver);
    this.#waiting.set(address, waiting);
  }

  /** Delivers what waits for an endpoint at an address, which is now up. */
  deliverWaiting(address: string): void {
    const waiting = this.#waiting.get(address) ?? [];
    this.#waiting.delete(address);
    for (const deliver of waiting) deliver();
  }
}

/** Outcome of a call that reaches no endpoint with the order's id. */
type FailedCall = ReturnType<typeof rejected> | typeof noAnswer;

/**
 * Carries out an order at an endpoint. Settles as undefined if the connection
 * breaks, and never if there is no answer.
 */
type OrderHandler<T> = (endpoint: ModelEndpoint) => Promise<T | undefined>;

/** One order on its way to an endpoint, and its answer on the way back. */
class Call<T> {
  /** Settles when the sender has an answer or its timeout is over. */
  readonly outcome: Promise<T | FailedCall>;
  #resolve: (outcome: T | FailedCall) => void = () => {};
  /** Whether no endpoint was up at the address when the order arrived. */
  #isWaiting = false;
  #isOver = false;
  readonly #cancelTimeout: () => void;

  constructor(
    private readonly network: ModelNetwork,
    private readonly to: TaskEndpoint,
    timeoutMs: number,
    private readonly handle: OrderHandler<T>,
    /** Whether the process of the sender was killed. */
    private readonly isSenderDead: () => boolean,
  ) {
    const { clock } = network;
    this.outcome = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.#cancelTimeout = clock.after(timeoutMs, () => this.#expire());
    clock.after(network.drawDelayMs(), () => this.#deliver());
  }

  /**
   * Hands the order to the endpoint at its address. While none is up there the
   * sender's connection attempts go on until its timeout.
   */
  #deliver(): void {
    const { network, to } = this;
    if (this.#isWaiting && this.#isOver) return;
    const endpoint = network.endpointAt(to.address);
    this.#isWaiting = endpoint === undefined;
    if (endpoint === undefined) {
      network.awaitBoot(to.address, () => this.#deliver());
    } else if (!endpoint.isReachable) {
      endpoint.awaitReconnection(() => this.#retransmit());
    } else if (endpoint.info.id !== to.id) {
      this.#answer(endpoint, rejected("other-life"));
    } else {
      this.handle(endpoint).then((outcome) => this.#answer(endpoint, outcome));
    }
  }

  /**
   * Delivers an order at the end of a cut. A sender that lives has reset its
   * connection at the timeout; the host of one that was killed sends it again.
   */
  #retransmit(): void {
    if (!this.#isOver || this.isSenderDead()) this.#deliver();
  }

  /** Sends the answer back, also if the endpoint crashes meanwhile. */
  #answer(endpoint: ModelEndpoint, outcome: T | FailedCall | undefined): void {
    this.network.clock.after(this.network.drawDelayMs(), () => {
      if (endpoint.isReachable) this.#settle(outcome ?? noAnswer);
    });
  }

  #expire(): void {
    const isRefused = this.#isWaiting && this.network.random() < refusedShare;
    this.#settle(isRefused ? rejected("unreachable") : noAnswer);
  }

  #settle(outcome: T | FailedCall): void {
    this.#isOver = true;
    this.#cancelTimeout();
    this.#resolve(outcome);
  }
}

/** Sends the orders of one process to the model's endpoints. */
export class ModelOrders implements TaskOrders {
  /** Share of start and stop orders that get no answer and take effect late. */
  lateShare = 0;

  constructor(
    private readonly process: ProcessClock,
    private readonly network: ModelNetwork,
  ) {}

  start(to: TaskEndpoint, order: StartOrder): Promise<OrderOutcome> {
    return this.#sendOrder(to, (endpoint) => endpoint.start(order));
  }

  stop(to: TaskEndpoint, order: StopOrder): Promise<OrderOutcome> {
    return this.#sendOrder(
      to,
      (endpoint, isLate) => endpoint.stop(order, isLate),
    );
  }

  /** Accepts a pace order and ignores it. */
  pace(): Promise<OrderOutcome> {
    return Promise.resolve({ kind: "done", clockMs: undefined });
  }

  /** The model sends each order at once, so that there is none to end. */
  endIncarnation(): void {}

  hold(to: TaskEndpoint, order: HoldOrder): Promise<HoldOutcome> {
    return this.#call<HoldOutcome>(
      to,
      orderTimeoutMs + order.waitMs,
      (endpoint) => endpoint.hold(order),
    );
  }

  /**
   * Sends a start or a stop. An order that takes effect late has reached one
   * incarnation, and ends with it; one that is kept on its way has reached none.
   */
  #sendOrder(
    to: TaskEndpoint,
    handle: (endpoint: ModelEndpoint, isLate: boolean) => OrderOutcome,
  ): Promise<OrderOutcome> {
    const { clock, random } = this.network;
    const keptMs = this.network.drawKeptMs();
    if (keptMs !== undefined) return this.#keepOrder(to, keptMs, handle);
    return this.#call<OrderOutcome>(to, orderTimeoutMs, (endpoint) => {
      if (random() >= this.lateShare) {
        return Promise.resolve(handle(endpoint, false));
      }
      clock.after(random() * maxLateDelayMs, () => {
        if (endpoint.isUp) handle(endpoint, true);
      });
      return new Promise(() => {});
    });
  }

  /** Delivers an order after `keptMs`, if an endpoint with its id is up then. */
  #keepOrder(
    to: TaskEndpoint,
    keptMs: number,
    handle: (endpoint: ModelEndpoint, isLate: boolean) => OrderOutcome,
  ): Promise<OrderOutcome> {
    const { clock } = this.network;
    clock.after(keptMs, () => {
      const endpoint = this.network.endpointAt(to.address);
      if (endpoint?.isReachable && endpoint.info.id === to.id) {
        handle(endpoint, true);
      }
    });
    return this.#call<OrderOutcome>(
      to,
      orderTimeoutMs,
      () => new Promise(() => {}),
    );
  }

  #call<T>(
    to: TaskEndpoint,
    timeoutMs: number,
    handle: OrderHandler<T>,
  ): Promise<T | FailedCall> {
    const call = new Call<T>(
      this.network,
      to,
      timeoutMs,
      handle,
      () => this.process.isDead,
    );
    return this.process.deliver(call.outcome);
  }
}
