/**
 * Which hosts this entry owns, and the take-over of a host's slots.
 *
 * A host that is gained starts with all slots reserved; they are freed as the
 * endpoint itself reports how many runs it still has for earlier owners.
 */
import type { Clock } from "../clock/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import { type FleetState, servingHosts } from "../fleet/index.ts";
import { type Candidate, type Host, ownerOf } from "../hosts/index.ts";
import type { Member } from "../peers/index.ts";
import type { Scheduler } from "../pipeline/index.ts";

const healthRetryMs = 200;

/** What ownership needs of the entry. */
export interface OwnershipParts {
  readonly scheduler: Scheduler;
  readonly endpoints: EndpointClient;
  readonly clock: Clock;
  /** Identity of this entry. */
  readonly entry: string;
  readonly zone: string;
  readonly incarnation: string;
}

/** One start of an entry. */
type EntryIdentity = Pick<OwnershipParts, "entry" | "incarnation">;

/** The entries that may own hosts of a zone, by what is known here. */
function ownerCandidates(
  fleet: FleetState,
  zone: string,
  self: EntryIdentity,
  members: readonly Member[],
): readonly Candidate[] {
  const live = new Map([[self.entry, self.incarnation]]);
  for (const { hello, heartbeat } of members) {
    if (heartbeat?.shuttingDown) continue;
    live.set(hello.entry, hello.incarnation);
  }
  const registered = fleet.registrations.get(zone)?.entries ?? [];
  return registered.filter((e) => live.get(e.entry) === e.incarnation);
}

/** The hosts that an entry owns, by what is known here. */
export function ownedHosts(
  fleet: FleetState,
  self: EntryIdentity,
  members: readonly Member[],
): readonly Host[] {
  const byZone = new Map<string, readonly Candidate[]>();
  return servingHosts(fleet).filter((host) => {
    let candidates = byZone.get(host.zone);
    if (candidates === undefined) {
      candidates = ownerCandidates(fleet, host.zone, self, members);
      byZone.set(host.zone, candidates);
    }
    return ownerOf(host.name, host.zone, candidates) === self.entry;
  });
}

/** Keeps the scheduler's hosts equal to the ones that this entry owns. */
export class Ownership {
  #owned = new Map<string, number>();

  constructor(private readonly parts: OwnershipParts) {}

  /** Number of owned hosts. */
  get size(): number {
    return this.#owned.size;
  }

  /** Recomputes the owned hosts; `mayOwn` is false while fenced or leaving. */
  update(fleet: FleetState, members: readonly Member[], mayOwn: boolean): void {
    const { scheduler } = this.parts;
    const owned = mayOwn ? ownedHosts(fleet, this.parts, members) : [];
    const gained = owned.filter((h) => !this.#owned.has(h.name));
    this.#owned = new Map(owned.map((h) => [h.name, h.epoch]));
    scheduler.setHosts(owned, gained.map((h) => h.name));
    for (const host of gained) this.#releaseReservedSlots(host, host.slots);
  }

  /** Frees reserved slots as far as the endpoint's report allows. */
  async #releaseReservedSlots(host: Host, reserved: number): Promise<void> {
    const { scheduler, endpoints, clock } = this.parts;
    const health = await endpoints.health(host);
    const ownRuns = Math.max(0, scheduler.inFlight(host.name) - reserved);
    const otherRuns = health.ok
      ? Math.max(0, health.val.running - ownRuns)
      : reserved;
    const stillReserved = Math.min(reserved, otherRuns);
    scheduler.unreserve(host.name, reserved - stillReserved);
    if (stillReserved === 0) return;
    if (!this.#owned.has(host.name)) {
      return scheduler.unreserve(host.name, stillReserved);
    }
    clock.after(healthRetryMs, () => {
      this.#releaseReservedSlots(host, stillReserved);
    });
  }
}
