/** Services, settings and event handlers that `EntryCore` is built from. */
import type { Clock, Random } from "../clock/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import type { RegisteredEntry } from "../hosts/index.ts";
import type { Hello, MeshEvents, PeerNetwork } from "../peers/index.ts";
import type { Platform } from "../platform/index.ts";
import type { Settings } from "../settings/index.ts";
import type { Mechanisms } from "./mechanisms.ts";

/** Receives an entry's events, to log or count them. */
export interface EntryEvents {
  info(message: string, fields?: object): void;
  warn(message: string, fields?: object): void;
  /** Called when an actor threw; the actor keeps its state and continues. */
  onActorFailed(actor: string, err: unknown): void;
  /**
   * Called for an invalid frame with the number of its result code; `peer` is
   * "unknown" before the hello.
   */
  onBadFrame(peer: string, message: string, code: number): void;
}

/** Dependencies of `EntryCore`. */
export interface CoreDependencies {
  readonly self: RegisteredEntry;
  /** Shared secret that entries send to each other when they connect. */
  readonly token: string;
  /** Peer addresses, `ip:port`, to dial besides the registered ones. */
  readonly seeds: readonly string[];
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  /** Creates the links to the other entries. */
  createNetwork(hello: Hello, events: MeshEvents): PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly timing: Required<Settings["timing"]>;
  /** Longest time in ms until a change appears in the platform's host list. */
  readonly listLagMs: number;
  /** Whether the controller moves hosts between pools under load. */
  readonly movesEnabled: boolean;
  readonly events: EntryEvents;
  readonly mechanisms: Mechanisms;
}
