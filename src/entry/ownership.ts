/**
 * Which hosts this entry owns, and the takeover of a host's slots.
 *
 * A newly owned host starts with all slots reserved, because runs of its
 * previous owners may still be in progress. A slot is released once the
 * endpoint reports that no such run uses it.
 */
import type { Clock } from "../clock/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import { type FleetState, servingHosts } from "../fleet/index.ts";
import { type Host, type OwnerCandidate, ownerOf } from "../hosts/index.ts";
import type { PeerMember } from "../peers/index.ts";
import type { SlotScheduler } from "../pipeline/index.ts";

/** Pause in ms before an endpoint is asked again for its runs. */
const healthRetryMs = 200;

/** Dependencies of `Ownership`. */
export interface OwnershipDependencies {
  readonly scheduler: SlotScheduler;
  readonly endpoints: EndpointClient;
  readonly clock: Clock;
  /** Identity of this entry. */
  readonly entry: string;
  readonly zone: string;
  readonly incarnation: string;
}

/** The identity of one start of an entry. */
type EntryIdentity = Pick<OwnershipDependencies, "entry" | "incarnation">;

/** The entries that may own hosts of a zone, in this entry's view. */
function ownerCandidates(
  fleet: FleetState,
  zone: string,
  self: EntryIdentity,
  members: readonly PeerMember[],
): readonly OwnerCandidate[] {
  const live = new Map([[self.entry, self.incarnation]]);
  for (const { hello, heartbeat } of members) {
    if (heartbeat?.shuttingDown) continue;
    live.set(hello.entry, hello.incarnation);
  }
  const registered = fleet.registrations.get(zone)?.entries ?? [];
  return registered.filter((e) => live.get(e.entry) === e.incarnation);
}

/** The hosts that an entry owns, in its own view of fleet and peers. */
export function ownedHosts(
  fleet: FleetState,
  self: EntryIdentity,
  members: readonly PeerMember[],
): readonly Host[] {
  const byZone = new Map<string, readonly OwnerCandidate[]>();
  return servingHosts(fleet).filter((host) => {
    let candidates = byZone.get(host.zone);
    if (candidates === undefined) {
      candidates = ownerCandidates(fleet, host.zone, self, members);
      byZone.set(host.zone, candidates);
    }
    return ownerOf(host.name, host.zone, candidates) === self.entry;
  });
}

/** Gives the scheduler exactly the hosts that this entry owns. */
export class Ownership {
  /** Epochs of the owned hosts, by host name. */
  #owned = new Map<string, number>();

  constructor(private readonly deps: OwnershipDependencies) {}

  /** Number of owned hosts. */
  get size(): number {
    return this.#owned.size;
  }

  /**
   * Recomputes the owned hosts. `mayOwn` is false while sending is blocked
   * after a pause, and during a shutdown.
   */
  update(
    fleet: FleetState,
    members: readonly PeerMember[],
    mayOwn: boolean,
  ): void {
    const { scheduler } = this.deps;
    const owned = mayOwn ? ownedHosts(fleet, this.deps, members) : [];
    const gained = owned.filter((h) => !this.#owned.has(h.name));
    this.#owned = new Map(owned.map((h) => [h.name, h.epoch]));
    scheduler.setHosts(owned, gained.map((h) => h.name));
    for (const host of gained) this.#releaseReservedSlots(host, host.slots);
  }

  /**
   * Asks the endpoint for its runs in progress, releases the reserved slots
   * that no run of a previous owner uses, and repeats this until none is
   * reserved. If the endpoint does not answer, all of them stay reserved.
   */
  async #releaseReservedSlots(host: Host, reserved: number): Promise<void> {
    const { scheduler, endpoints, clock } = this.deps;
    const health = await endpoints.health(host);
    const ownRuns = Math.max(0, scheduler.inFlight(host.name) - reserved);
    const otherRuns = health.ok
      ? Math.max(0, health.val.running - ownRuns)
      : reserved;
    const stillReserved = Math.min(reserved, otherRuns);
    scheduler.releaseReserved(host.name, reserved - stillReserved);
    if (stillReserved === 0) return;
    if (!this.#owned.has(host.name)) {
      return scheduler.releaseReserved(host.name, stillReserved);
    }
    clock.after(healthRetryMs, () => {
      this.#releaseReservedSlots(host, stillReserved);
    });
  }
}
