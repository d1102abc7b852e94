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
  #cancels = new Set<() => void>();

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
      let pause = defaultPauseMs;
      try {
        pause = await tick();
      } catch (err) {
        this.onCrash(name, err);
      }
      this.#later(pause, () => actor.send("tick"));
      return undefined;
    });
    actor.send("tick");
  }

  /** Stops every actor. */
  stop(): void {
    this.#stopped = true;
    for (const cancel of this.#cancels) cancel();
    this.#cancels.clear();
    stop(this.#system);
  }

  #later(ms: number, f: () => void): void {
    if (this.#stopped) return;
    const cancel = this.clock.after(ms, () => {
      this.#cancels.delete(cancel);
      f();
    });
    this.#cancels.add(cancel);
  }
}

/** Pause after a tick that failed, in ms. */
const defaultPauseMs = 1_000;
