/** The actor that holds an entry's view of the fleet. */
import type { Actor, ActorSystem } from "../actors/index.ts";
import {
  type applyFleetEvent,
  emptyFleet,
  type FleetEffect,
  type FleetEvent,
  type FleetState,
} from "../fleet/index.ts";

/** Applies fleet events one at a time and executes their effects. */
export class FleetActor {
  #state = emptyFleet;
  readonly #actor: Actor<FleetEvent>;

  constructor(
    system: ActorSystem,
    private readonly applyEvent: typeof applyFleetEvent,
    private readonly executeEffect: (effect: FleetEffect) => void,
    /** Called after an event that changed the state, with both states. */
    private readonly onChange: (state: FleetState, before: FleetState) => void,
  ) {
    this.#actor = system.spawn<FleetState, FleetEvent>(
      "fleet",
      emptyFleet,
      (state, event) => this.#apply(state, event),
    );
  }

  /** The current state. */
  get state(): FleetState {
    return this.#state;
  }

  /** Queues an event for the actor. */
  send(event: FleetEvent): void {
    this.#actor.send(event);
  }

  #apply(state: FleetState, event: FleetEvent): FleetState {
    const step = this.applyEvent(state, event);
    if (step.state === state) {
      for (const effect of step.effects) this.executeEffect(effect);
      return state;
    }
    this.#state = step.state;
    for (const effect of step.effects) this.executeEffect(effect);
    this.onChange(step.state, state);
    return step.state;
  }
}
