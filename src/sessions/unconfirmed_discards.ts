/**
 * Incarnations of endpoints that may discard ends unread.
 *
 * An endpoint that restarts under its id numbers its ends anew, and may carry out a
 * hold that was meant for its former incarnation. The number up to which that
 * one's ends were recorded then holds for the ends of the next one, which it lists
 * to nobody: a task would be started again although it is done. So an incarnation
 * that may have had such a hold gets no tasks.
 *
 * An owner stores what it knows for its successor. Times are of the owner's
 * monotonic clock, in ms.
 */
import * as v from "valibot";
import type { TaskEndpoint } from "../endpoint/index.ts";
import { parseJson } from "../store/index.ts";

/** Longest time from an answer until an earlier hold can arrive, in ms. */
const maxLateArrivalMs = 12_000;

/** Time for which an endpoint is remembered that does not come back, in ms. */
const maxAbsenceMs = 600_000;

/** Most endpoints of each kind that are remembered. */
const maxEndpoints = 200;

/** An endpoint's id, and the start of one of its incarnations. */
type Incarnation = Pick<TaskEndpoint, "id" | "life">;

/** An incarnation, as stored. */
const incarnationSchema = v.tuple([v.string(), v.number()]);

const rowSchema = v.object({
  /** Incarnations that a hold was meant for which may still arrive. */
  unconfirmed: v.array(incarnationSchema),
  /** Incarnations that may have had a hold of an earlier one. */
  hiding: v.array(incarnationSchema),
});

type StoredIncarnation = v.InferOutput<typeof incarnationSchema>;

function encodeRow(
  unconfirmed: StoredIncarnation[],
  hiding: StoredIncarnation[],
): string {
  const row: v.InferOutput<typeof rowSchema> = {
    unconfirmed: unconfirmed.sort(compareIds),
    hiding: hiding.sort(compareIds),
  };
  return JSON.stringify(row);
}

function compareIds([a]: StoredIncarnation, [b]: StoredIncarnation): number {
  return a < b ? -1 : Number(a > b);
}

/** Encoding of no such incarnations. */
export const noUnconfirmedDiscards = encodeRow([], []);

/** A hold that may have reached a later incarnation than it was meant for. */
interface UnconfirmedDiscard {
  readonly life: number;
  /** Time after which the hold does not arrive any more. */
  readonly arrivesBy: number;
  /** Time after which the endpoint is forgotten. */
  readonly forgetAt: number;
}

/** Removes the first entries of a map until it is small enough. */
function limitSize(map: Map<string, unknown>): void {
  for (const key of map.keys()) {
    if (map.size <= maxEndpoints) return;
    map.delete(key);
  }
}

/** What is known of the endpoints of one shard. */
export class UnconfirmedDiscards {
  readonly #unconfirmed = new Map<string, UnconfirmedDiscard>();
  /** Incarnations by id that have not answered a discard yet. */
  readonly #slow = new Map<string, number>();
  /** The incarnation of each id that may hide ends. */
  readonly #hiding = new Map<string, number>();

  /** The incarnation of each id that was encoded last as unconfirmed. */
  #stored: ReadonlyMap<string, number> = new Map();

  /** Notes that a discard has no answer yet, which may still come. */
  markSlow({ id, life }: Incarnation): void {
    this.#slow.set(id, life);
  }

  /** Notes that the incarnation has carried out the discard, or refused it. */
  confirm({ id }: Incarnation): void {
    this.#slow.delete(id);
  }

  /** Adds a hold that was meant for an incarnation and has no answer. */
  add({ id, life }: Incarnation, now: number): void {
    this.#slow.delete(id);
    this.#setUnconfirmed(id, {
      life,
      arrivesBy: Infinity,
      forgetAt: now + maxAbsenceMs,
    });
  }

  /**
   * Notes that an incarnation has answered a later hold. An earlier one may still
   * arrive late.
   */
  noteAnswer({ id, life }: Incarnation, now: number): void {
    const unconfirmed = this.#unconfirmed.get(id);
    if (unconfirmed?.life !== life) return;
    this.#expireSoon(id, unconfirmed, now);
  }

  /** Notes that an incarnation has carried out a hold for another one. */
  noteForeignDiscard({ id, life }: Incarnation): void {
    this.#hiding.delete(id);
    this.#hiding.set(id, life);
    limitSize(this.#hiding);
  }

  /**
   * Whether an incarnation may discard ends unread. It is remembered if so: the
   * answer stays the same.
   */
  mayHideEnds({ id, life }: Incarnation, now: number): boolean {
    if (this.#hiding.get(id) === life) return true;
    if (this.#slow.get(id) !== life) this.#settleSlow(id, now);
    const unconfirmed = this.#unconfirmed.get(id);
    if (unconfirmed === undefined || unconfirmed.life === life) return false;
    if (now > unconfirmed.arrivesBy) {
      this.#unconfirmed.delete(id);
      return false;
    }
    // The row of another writer may name a wrong incarnation: the next one that
    // is named may be the right one.
    this.#expireSoon(id, unconfirmed, now);
    this.noteForeignDiscard({ id, life });
    return true;
  }

  /** Forgets what does not matter any more. */
  prune(now: number): void {
    for (const [id, { arrivesBy, forgetAt }] of this.#unconfirmed) {
      if (now > Math.min(arrivesBy, forgetAt)) this.#unconfirmed.delete(id);
    }
  }

  /** Encodes it for a later owner, the same way whatever the order of events. */
  encode(): string {
    const unconfirmed = new Map(this.#slow);
    for (const [id, { life }] of this.#unconfirmed) unconfirmed.set(id, life);
    this.#stored = unconfirmed;
    return encodeRow([...unconfirmed], [...this.#hiding]);
  }

  /** Whether the last encoding names an incarnation as unconfirmed. */
  isStored({ id, life }: Incarnation): boolean {
    return this.#stored.get(id) === life;
  }

  /** Takes over what an earlier owner has stored; ignores an invalid value. */
  load(value: string, now: number): void {
    const row = parseJson(rowSchema, value);
    if (row === undefined) return;
    for (const [id, life] of row.unconfirmed) this.add({ id, life }, now);
    for (const [id, life] of row.hiding) this.noteForeignDiscard({ id, life });
  }

  /** Counts a discard that has no answer yet as one that gets none. */
  #settleSlow(id: string, now: number): void {
    const life = this.#slow.get(id);
    if (life !== undefined) this.add({ id, life }, now);
  }

  #expireSoon(id: string, discard: UnconfirmedDiscard, now: number): void {
    const arrivesBy = Math.min(discard.arrivesBy, now + maxLateArrivalMs);
    this.#setUnconfirmed(id, { ...discard, arrivesBy });
  }

  #setUnconfirmed(id: string, discard: UnconfirmedDiscard): void {
    this.#unconfirmed.delete(id);
    this.#unconfirmed.set(id, discard);
    limitSize(this.#unconfirmed);
  }
}
