/**
 * The fleet state that an entry holds: the table, the hosts, and the
 * registrations. The value is immutable; `applyFleetEvent` computes the next
 * state and the effects that the entry carries out.
 */
import {
  applyHosts,
  type Host,
  type HostMap,
  isServing,
  type Registration,
} from "../hosts/index.ts";
import type { PlatformListedHost } from "../platform/index.ts";
import { applyDelta, Table, type TableDelta } from "../table/index.ts";

/** The state of the fleet as this entry has received it. */
export interface FleetState {
  /** The newest table received. */
  readonly table: Table;
  /** Host rows by name, each at the highest epoch received. */
  readonly hosts: HostMap;
  /** Names of the hosts that the platform lists as leaving or gone. */
  readonly unlisted: ReadonlySet<string>;
  /** Registrations by availability zone. */
  readonly registrations: ReadonlyMap<string, Registration>;
}

/** The state of an entry that has received nothing yet. */
export const emptyFleet: FleetState = {
  table: Table.empty,
  hosts: new Map(),
  unlisted: new Set(),
  registrations: new Map(),
};

/** An event that may change the fleet state. */
export type FleetEvent =
  /** The committed table, read from the platform. */
  | { readonly kind: "table"; readonly table: Table }
  /** A table delta received from the peer `from`. */
  | {
    readonly kind: "delta";
    readonly delta: TableDelta;
    readonly from: string;
  }
  /** Host rows received from the platform or a peer. */
  | { readonly kind: "hosts"; readonly rows: readonly Host[] }
  /** Hosts that, by a peer's message, the platform lists as leaving or gone. */
  | { readonly kind: "unlisted"; readonly names: readonly string[] }
  /** The platform's complete host list. */
  | { readonly kind: "list"; readonly hosts: readonly PlatformListedHost[] }
  /** Every registration row, read from the platform. */
  | { readonly kind: "registrations"; readonly rows: readonly Registration[] };

/** An action that the entry carries out after an event. */
export type FleetEffect =
  /** Sends the table to the peers as a delta from `base` to `next`. */
  | { readonly kind: "push-table"; readonly base: Table; readonly next: Table }
  /** Requests the whole table from a peer. */
  | { readonly kind: "ask-table"; readonly peer: string }
  /** Sends changed host rows and newly unlisted hosts to the peers. */
  | {
    readonly kind: "push-hosts";
    readonly rows: readonly Host[];
    readonly unlisted: readonly string[];
  };

/** The state after an event, with the effects to carry out. */
export interface FleetTransition {
  readonly state: FleetState;
  readonly effects: readonly FleetEffect[];
}

/**
 * Applies an event. The table version and the epoch of each host never
 * decrease: older tables and rows are ignored.
 */
export function applyFleetEvent(
  state: FleetState,
  event: FleetEvent,
): FleetTransition {
  switch (event.kind) {
    case "table":
      return adoptTable(state, event.table);
    case "delta":
      return adoptDelta(state, event.delta, event.from);
    case "hosts":
      return adoptHosts(state, event.rows);
    case "unlisted":
      return addUnlisted(state, event.names);
    case "list":
      return adoptList(state, event.hosts);
    case "registrations":
      return {
        state: {
          ...state,
          registrations: new Map(event.rows.map((r) => [r.zone, r])),
        },
        effects: [],
      };
  }
}

function adoptTable(state: FleetState, table: Table): FleetTransition {
  if (table.version <= state.table.version) return { state, effects: [] };
  const effect = {
    kind: "push-table",
    base: state.table,
    next: table,
  } as const;
  return { state: { ...state, table }, effects: [effect] };
}

/** Applies a delta; requests the whole table if the delta has another base. */
function adoptDelta(
  state: FleetState,
  delta: TableDelta,
  peer: string,
): FleetTransition {
  const outcome = applyDelta(state.table, delta);
  if (outcome.kind === "applied") return adoptTable(state, outcome.table);
  if (outcome.kind === "stale") return { state, effects: [] };
  return { state, effects: [{ kind: "ask-table", peer }] };
}

function adoptHosts(state: FleetState, rows: readonly Host[]): FleetTransition {
  const { hosts, changed } = applyHosts(state.hosts, rows);
  if (changed.length === 0) return { state, effects: [] };
  return {
    state: { ...state, hosts },
    effects: [{ kind: "push-hosts", rows: changed, unlisted: [] }],
  };
}

function addUnlisted(
  state: FleetState,
  names: readonly string[],
): FleetTransition {
  const added = names.filter((name) => !state.unlisted.has(name));
  if (added.length === 0) return { state, effects: [] };
  const unlisted = new Set([...state.unlisted, ...added]);
  return {
    state: { ...state, unlisted },
    effects: [{ kind: "push-hosts", rows: [], unlisted: added }],
  };
}

/**
 * Replaces the unlisted hosts by the workers that the list shows as not live.
 * Only names that were not among them before are sent to the peers.
 */
function adoptList(
  state: FleetState,
  listed: readonly PlatformListedHost[],
): FleetTransition {
  const names = listed
    .filter((h) => h.role === "worker" && h.state !== "live")
    .map((h) => h.name);
  const added = names.filter((name) => !state.unlisted.has(name));
  const next = { ...state, unlisted: new Set(names) };
  if (added.length === 0) return { state: next, effects: [] };
  return {
    state: next,
    effects: [{ kind: "push-hosts", rows: [], unlisted: added }],
  };
}

/** Hosts that may receive work: serving and not listed as leaving or gone. */
export function servingHosts(state: FleetState): readonly Host[] {
  return [...state.hosts.values()].filter((host) =>
    isServing(host) && !state.unlisted.has(host.name)
  );
}

/**
 * Returns the sum of the epochs of all known hosts. Peers compare it to detect
 * missing rows.
 */
export function epochSum(state: FleetState): number {
  let sum = 0;
  for (const host of state.hosts.values()) sum += host.epoch;
  return sum;
}
