/**
 * Actors of an entry: nact actors with a stated answer to a crash.
 *
 * An actor handles one message at a time, also when the handler is
 * asynchronous, so its state needs no locks.
 */
import { dispatch, spawn, start, stop } from "nact";
import type { Clock } from "../clock/index.ts";

/** Receives an actor's unexpected error; the actor goes on with its state. */
export type CrashHandler = (actor: string, err: unknown) => void;

/** An address that messages can be sent to. */
export interface Actor<M> {
  send(message: M): void;
}

/** A group of actors that stop together. */
export class ActorSystem {
  #system = start();
  #stopped = false;
  #pendingTimers = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    private readonly onCrash: CrashHandler,
  ) {}

  /** Starts an actor with a state and a function from message to state. */
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
   * Starts an actor that calls `tick` again and again; each call begins the
   * time that `tick` returns, in ms, after the end of the last.
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

  /** Stops every actor. */
  stop(): void {
    this.#stopped = true;
    for (const cancel of this.#pendingTimers) cancel();
    this.#pendingTimers.clear();
    stop(this.#system);
  }

  #schedule(ms: number, callback: () => void): void {
    if (this.#stopped) return;
    const cancel = this.clock.after(ms, () => {
      this.#pendingTimers.delete(cancel);
      callback();
    });
    this.#pendingTimers.add(cancel);
  }
}

/** Pause after a tick that failed, in ms. */
const failureDelayMs = 1_000;
