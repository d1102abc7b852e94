/** What an entry's core is made of. */
import type { Clock, Random } from "../clock/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import type { RegisteredEntry } from "../hosts/index.ts";
import type { Hello, MeshEvents, PeerNetwork } from "../peers/index.ts";
import type { Platform } from "../platform/index.ts";
import type { Settings } from "../settings/index.ts";
import type { Mechanisms } from "./mechanisms.ts";

/** Notices of an entry, for its log. */
export interface EntryEvents {
  info(message: string, fields?: object): void;
  warn(message: string, fields?: object): void;
  actorFailed(actor: string, err: unknown): void;
  badFrame(peer: string, message: string, code: number): void;
}

/** What an entry is made of. */
export interface CoreParts {
  readonly self: RegisteredEntry;
  readonly token: string;
  readonly seeds: readonly string[];
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  /** Opens the links to the other entries. */
  network(hello: Hello, events: MeshEvents): PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly timing: Required<Settings["timing"]>;
  readonly listLagMs: number;
  readonly moves: boolean;
  readonly events: EntryEvents;
  readonly mechanisms: Mechanisms;
}
