/**
 * Actors on top of the nact library. An actor whose handler throws reports the
 * error and continues with the state that it had before the message.
 *
 * An actor handles one message at a time, even if the handler is asynchronous,
 * so its state needs no locks.
 */
import { dispatch, spawn, start, stop } from "nact";
import type { Clock } from "../clock/index.ts";

/** Called with the name of an actor and the error that its handler threw. */
export type CrashHandler = (actor: string, err: unknown) => void;

/** A reference to an actor. */
export interface Actor<M> {
  /** Queues a message; does nothing once the actor system has stopped. */
  send(message: M): void;
}

/** A group of actors that are stopped together. */
export class ActorSystem {
  #system = start();
  #stopped = false;
  /** Functions that cancel the timers that have not fired. */
  #pendingTimers = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    private readonly onCrash: CrashHandler,
  ) {}

  /**
   * Starts an actor. `handle` is called with the current state and a message,
   * and returns the next state.
   */
  spawn<S, M>(
    name: string,
    initialState: S,
    handle: (state: S, message: M) => S | Promise<S>,
  ): Actor<M> {
    const ref = spawn(
      this.#system,
      (state: S, message: M) => handle(state, message),
      name,
      {
        initialState,
        onCrash: (_msg, err, ctx) => {
          this.onCrash(name, err);
          return ctx.resume;
        },
      },
    );
    return {
      send: (message) => {
        if (!this.#stopped) dispatch(ref, message);
      },
    };
  }

  /**
   * Starts an actor that calls `tick` repeatedly, the first time at once.
   * `tick` returns the delay until its next call, in ms. If it fails, the error
   * is reported and the next call follows after 1 s.
   */
  loop(name: string, tick: () => Promise<number>): void {
    const actor: Actor<"tick"> = this.spawn(name, undefined, async () => {
      let delayMs = failureDelayMs;
      try {
        delayMs = await tick();
      } catch (err) {
        this.onCrash(name, err);
      }
      this.#schedule(delayMs, () => actor.send("tick"));
      return undefined;
    });
    actor.send("tick");
  }

  /** Stops all actors and cancels pending calls of `loop`. */
  stop(): void {
    this.#stopped = true;
    for (const cancel of this.#pendingTimers) cancel();
    this.#pendingTimers.clear();
    stop(this.#system);
  }

  /** Calls `callback` after `ms`, unless the system stops before. */
  #schedule(ms: number, callback: () => void): void {
    if (this.#stopped) return;
    const cancel = this.clock.after(ms, () => {
      this.#pendingTimers.delete(cancel);
      callback();
    });
    this.#pendingTimers.add(cancel);
  }
}

/** Delay in ms until the next call of a `tick` that failed. */
const failureDelayMs = 1_000;
