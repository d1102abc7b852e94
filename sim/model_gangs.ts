/**
 * Model of gangs: tasks of one step that work only together, wherever they run.
 * They work from the moment when all of one run are present, and end together.
 */
import type { EndKind } from "../src/endpoint/index.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** Time for which a member waits for the others, in ms. */
const gangTimeoutMs = 4_000;

/** A member of a gang that runs at an endpoint. */
export interface GangMember {
  /** Name of its task, `job.occurrence.step.index`. */
  readonly task: string;
  /** Number of its run, which all members share. */
  readonly run: number;
  /** Ends the member at its endpoint. */
  readonly end: (kind: EndKind) => void;
}

/** Size of a gang and its run time once all members are present, in ms. */
export interface GangSize {
  readonly count: number;
  readonly durationMs: number;
}

/** Name of the gang of a member: its step, and the number of its run. */
function gangName({ task, run }: GangMember): string {
  return `${task.slice(0, task.lastIndexOf("."))}#${run}`;
}

/** The gangs of a simulation. */
export class ModelGangs {
  /** Members that are present, by the name of their gang. */
  readonly #present = new Map<string, Set<GangMember>>();

  constructor(private readonly clock: VirtualClock) {}

  /** Adds a member that has started; the gang works once it is the last one. */
  join(member: GangMember, { count, durationMs }: GangSize): void {
    const name = gangName(member);
    const members = this.#present.get(name) ?? new Set();
    this.#present.set(name, members);
    members.add(member);
    if (members.size === count) {
      this.clock.after(durationMs, () => this.#finish(members, count));
      return;
    }
    this.clock.after(gangTimeoutMs, () => {
      if (members.has(member) && members.size < count) member.end("alone");
    });
  }

  /** Removes a member that has ended; the others are broken. */
  leave(member: GangMember): void {
    const members = this.#present.get(gangName(member));
    if (members === undefined || !members.delete(member)) return;
    const others = [...members];
    members.clear();
    for (const other of others) other.end("broken");
  }

  /** Ends all members as done, if none has ended before. */
  #finish(members: Set<GangMember>, count: number): void {
    if (members.size < count) return;
    const all = [...members];
    members.clear();
    for (const member of all) member.end("done");
  }
}
