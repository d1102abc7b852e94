/**
 * The links of one entry to the others: dialling, greeting, heartbeats, and
 * replacement of silent links.
 *
 * Of two entries, the one with the lower address dials. Later links of the
 * same pair replace earlier ones, and a new incarnation of a peer closes the
 * links of the old one.
 */
import { connect, createServer, type Server } from "node:net";
import type { Clock } from "../clock/index.ts";
import type { Failure } from "../errors/index.ts";
import { Link, type LinkEvents, type LinkTraffic } from "./link.ts";
import type { Heartbeat, Hello, Message } from "./message.ts";

/** Options of a mesh. */
export interface MeshOptions {
  readonly hello: Hello;
  /** Own address, `ip:port`, as the other entries dial it. */
  readonly address: string;
  /** Addresses to dial in place of a peer's own. */
  readonly dial: Readonly<Record<string, string>>;
  readonly heartbeatMs: number;
  /** A link without a frame for this long is replaced. */
  readonly silenceMs: number;
}

/** What the mesh reports to the entry. */
export interface MeshEvents {
  /** Builds the heartbeat that is sent on every link. */
  heartbeat(): Heartbeat;
  joined(peer: Hello): void;
  received(peer: Hello, message: Message): void;
  left(peer: Hello, reason: string): void;
  badFrame(peer: string, err: Failure): void;
}

/** A connected peer and its last heartbeat. */
export interface Member {
  readonly hello: Hello;
  readonly heartbeat: Heartbeat | undefined;
}

interface ConnectedPeer {
  link: Link;
  heartbeat: Heartbeat | undefined;
}

/** The links to the other entries, as an entry uses them. */
export interface PeerNetwork {
  start(): Promise<void>;
  stop(): void;
  /** Replaces the set of addresses to keep links to. */
  setAddresses(addresses: Iterable<string>): void;
  /** The connected peers. */
  members(): readonly Member[];
  /** Sends to one peer; false when there is no link. */
  send(entry: string, message: Message): boolean;
  /** Bytes that wait on the link to a peer. */
  backlog(entry: string): number;
  /** Sends to every connected peer. */
  broadcast(message: Message): void;
}

/** Maintains one link to each other entry. */
export class Mesh implements LinkEvents, PeerNetwork {
  readonly traffic: LinkTraffic = {
    framesOut: 0,
    bytesOut: 0,
    framesIn: 0,
    bytesIn: 0,
  };
  #server: Server;
  #addresses = new Set<string>();
  #dialledLinks = new Map<string, Link>();
  #links = new Set<Link>();
  /** Accepted links whose peer has not proved the token yet. */
  #awaitingHello = new WeakSet<Link>();
  #peers = new Map<string, ConnectedPeer>();
  #stopTimer: () => void = () => undefined;
  #stopped = false;

  constructor(
    private readonly options: MeshOptions,
    private readonly clock: Clock,
    private readonly events: MeshEvents,
  ) {
    this.#server = createServer((socket) => {
      const link = this.#track(new Link(socket, clock, this, this.traffic));
      this.#awaitingHello.add(link);
    });
  }

  /** Listens on the own address and begins to dial. */
  async start(): Promise<void> {
    const [host, port] = splitAddress(this.options.address);
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    this.#tick();
  }

  /** Closes every link and stops listening. */
  stop(): void {
    this.#stopped = true;
    this.#stopTimer();
    this.#server.close();
    for (const link of this.#links) link.close("shutdown");
  }

  /** Replaces the set of addresses to keep links to. */
  setAddresses(addresses: Iterable<string>): void {
    this.#addresses = new Set(addresses);
    this.#addresses.delete(this.options.address);
  }

  /** The connected peers. */
  members(): readonly Member[] {
    return [...this.#peers.values()].map((peer) => ({
      hello: peer.link.peer as Hello,
      heartbeat: peer.heartbeat,
    }));
  }

  /** Whether a peer is connected. */
  isConnected(entry: string): boolean {
    return this.#peers.has(entry);
  }

  /** Sends to one peer; false when there is no link. */
  send(entry: string, message: Message): boolean {
    const peer = this.#peers.get(entry);
    if (peer === undefined) return false;
    peer.link.send(message);
    return true;
  }

  /** Bytes that wait on the link to a peer. */
  backlog(entry: string): number {
    return this.#peers.get(entry)?.link.backlog ?? 0;
  }

  /** Sends to every connected peer. */
  broadcast(message: Message): void {
    for (const peer of this.#peers.values()) peer.link.send(message);
  }

  helloReceived(link: Link, hello: Hello): void {
    if (hello.token !== this.options.hello.token) {
      return link.close("wrong peer token");
    }
    if (hello.entry === this.options.hello.entry) {
      return link.close("own identity");
    }
    if (this.#awaitingHello.delete(link)) link.send(this.options.hello);
    const earlier = this.#peers.get(hello.entry);
    this.#peers.set(hello.entry, { link, heartbeat: undefined });
    if (earlier !== undefined) {
      earlier.link.close("replaced by a newer link");
      this.events.left(earlier.link.peer as Hello, "replaced");
    }
    link.send(this.events.heartbeat());
    this.events.joined(hello);
  }

  received(link: Link, message: Message): void {
    const hello = link.peer as Hello;
    const peer = this.#peers.get(hello.entry);
    if (peer?.link !== link) return;
    if (message.kind === "heartbeat") peer.heartbeat = message;
    this.events.received(hello, message);
  }

  closed(link: Link, reason: string): void {
    this.#links.delete(link);
    const hello = link.peer;
    if (hello === undefined) return;
    if (this.#peers.get(hello.entry)?.link !== link) return;
    this.#peers.delete(hello.entry);
    this.events.left(hello, reason);
  }

  badFrame(link: Link, err: Failure): void {
    this.events.badFrame(link.peer?.entry ?? "unknown", err);
  }

  #track(link: Link): Link {
    this.#links.add(link);
    return link;
  }

  #tick(): void {
    if (this.#stopped) return;
    const heartbeat = this.events.heartbeat();
    for (const link of this.#links) {
      if (link.idleMs() > this.options.silenceMs) link.close("silent");
    }
    this.broadcast(heartbeat);
    for (const address of this.#addresses) this.#dial(address);
    this.#stopTimer = this.clock.after(
      this.options.heartbeatMs,
      () => this.#tick(),
    );
  }

  #dial(address: string): void {
    if (address < this.options.address) return;
    const current = this.#dialledLinks.get(address);
    if (current !== undefined && !current.isClosed) return;
    const [host, port] = splitAddress(this.options.dial[address] ?? address);
    const link = this.#track(
      new Link(connect(port, host), this.clock, this, this.traffic),
    );
    this.#dialledLinks.set(address, link);
    link.send(this.options.hello);
  }
}

/** Splits `ip:port`. */
export function splitAddress(address: string): readonly [string, number] {
  const colon = address.lastIndexOf(":");
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
