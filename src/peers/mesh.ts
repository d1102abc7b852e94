/**
 * The mesh: the links of one entry to all others. It dials peers, exchanges
 * hellos, sends heartbeats, and replaces silent links.
 *
 * Of two entries, the one whose address sorts first dials. A newer link of the
 * same pair replaces the older one, so a new incarnation of a peer closes the
 * link of the previous one.
 */
import { connect, createServer, type Server } from "node:net";
import type { Clock } from "../clock/index.ts";
import type { Failure } from "../errors/index.ts";
import { Link, type LinkEvents, type LinkTraffic } from "./link.ts";
import type { Heartbeat, Hello, Message } from "./message.ts";

/** Options of a mesh. */
export interface MeshOptions {
  /** The hello that this entry sends; its token must match the peers'. */
  readonly hello: Hello;
  /** This entry's address, `ip:port`, which the other entries dial. */
  readonly address: string;
  /** Addresses to dial instead of peers' own addresses, keyed by the latter. */
  readonly dial: Readonly<Record<string, string>>;
  /** Interval between heartbeats in ms. */
  readonly heartbeatMs: number;
  /** Silence timeout: time in ms without data after which a link is closed. */
  readonly silenceMs: number;
}

/** Callbacks from the mesh to its entry. */
export interface MeshEvents {
  /** Builds the heartbeat that is sent to every peer. */
  buildHeartbeat(): Heartbeat;
  /** Called when a link to the peer is ready for messages. */
  onPeerJoined(peer: Hello): void;
  /** Called when a message arrives, heartbeats included. */
  onMessage(peer: Hello, message: Message): void;
  /** Called when the link to the peer has closed or was replaced. */
  onPeerLeft(peer: Hello, reason: string): void;
  /** Called for an invalid frame; `peer` is "unknown" before the hello. */
  onBadFrame(peer: string, err: Failure): void;
}

/** A connected peer and its last heartbeat, if one has arrived. */
export interface PeerMember {
  readonly hello: Hello;
  readonly heartbeat: Heartbeat | undefined;
}

/** A peer's current link, and the last heartbeat that arrived on it. */
interface ConnectedPeer {
  link: Link;
  heartbeat: Heartbeat | undefined;
}

/** Messaging between an entry and its peers. */
export interface PeerNetwork {
  /** Starts to accept and open links. */
  start(): Promise<void>;
  /** Closes every link and stops accepting and opening links. */
  stop(): void;
  /** Sets the addresses of the peers to keep links to. */
  setAddresses(addresses: Iterable<string>): void;
  /** Returns the connected peers. */
  members(): readonly PeerMember[];
  /** Sends a message to one peer; false when it is not connected. */
  send(entry: string, message: Message): boolean;
  /** Returns the bytes buffered on the link to a peer; 0 if not connected. */
  backlog(entry: string): number;
  /** Sends a message to every connected peer. */
  broadcast(message: Message): void;
}

/** Maintains one link to each other entry. */
export class Mesh implements LinkEvents, PeerNetwork {
  /** Traffic of all links since the start. */
  readonly traffic: LinkTraffic = {
    framesOut: 0,
    bytesOut: 0,
    framesIn: 0,
    bytesIn: 0,
  };
  #server: Server;
  #addresses = new Set<string>();
  /** The last dialled link by the peer's address. */
  #dialledLinks = new Map<string, Link>();
  #links = new Set<Link>();
  /**
   * Accepted links whose peer has not sent a valid hello yet. This entry's hello
   * holds the token, so it is sent only after the peer's.
   */
  #awaitingHello = new WeakSet<Link>();
  /** Connected peers by entry name. */
  #peers = new Map<string, ConnectedPeer>();
  #cancelTimer: () => void = () => undefined;
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

  /** Listens on this entry's address and starts to dial the peers. */
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
    this.#cancelTimer();
    this.#server.close();
    for (const link of this.#links) link.close("shutdown");
  }

  /** Sets the addresses of the peers to keep links to. */
  setAddresses(addresses: Iterable<string>): void {
    this.#addresses = new Set(addresses);
    this.#addresses.delete(this.options.address);
  }

  /** Returns the connected peers. */
  members(): readonly PeerMember[] {
    return [...this.#peers.values()].map((peer) => ({
      hello: peer.link.peer as Hello,
      heartbeat: peer.heartbeat,
    }));
  }

  /** Sends a message to one peer; false when it is not connected. */
  send(entry: string, message: Message): boolean {
    const peer = this.#peers.get(entry);
    if (peer === undefined) return false;
    peer.link.send(message);
    return true;
  }

  /** Returns the bytes buffered on the link to a peer; 0 if not connected. */
  backlog(entry: string): number {
    return this.#peers.get(entry)?.link.backlog ?? 0;
  }

  /** Sends a message to every connected peer. */
  broadcast(message: Message): void {
    for (const peer of this.#peers.values()) peer.link.send(message);
  }

  /** Checks the hello, and makes the link the only one to its peer. */
  onHello(link: Link, hello: Hello): void {
    if (hello.token !== this.options.hello.token) {
      return link.close("wrong peer token");
    }
    if (hello.entry === this.options.hello.entry) {
      return link.close("peer has the name of this entry");
    }
    if (this.#awaitingHello.delete(link)) link.send(this.options.hello);
    const earlier = this.#peers.get(hello.entry);
    this.#peers.set(hello.entry, { link, heartbeat: undefined });
    if (earlier !== undefined) {
      earlier.link.close("replaced by a newer link");
      this.events.onPeerLeft(earlier.link.peer as Hello, "replaced");
    }
    link.send(this.events.buildHeartbeat());
    this.events.onPeerJoined(hello);
  }

  /** Passes a message on; ignores one from a link that was replaced. */
  onMessage(link: Link, message: Message): void {
    const hello = link.peer as Hello;
    const peer = this.#peers.get(hello.entry);
    if (peer?.link !== link) return;
    if (message.kind === "heartbeat") peer.heartbeat = message;
    this.events.onMessage(hello, message);
  }

  /** Removes the link, and its peer unless a newer link has replaced it. */
  onClosed(link: Link, reason: string): void {
    this.#links.delete(link);
    const hello = link.peer;
    if (hello === undefined) return;
    if (this.#peers.get(hello.entry)?.link !== link) return;
    this.#peers.delete(hello.entry);
    this.events.onPeerLeft(hello, reason);
  }

  /** Reports an invalid frame. */
  onBadFrame(link: Link, err: Failure): void {
    this.events.onBadFrame(link.peer?.entry ?? "unknown", err);
  }

  #track(link: Link): Link {
    this.#links.add(link);
    return link;
  }

  /** Closes silent links, sends heartbeats, and dials peers without a link. */
  #tick(): void {
    if (this.#stopped) return;
    const heartbeat = this.events.buildHeartbeat();
    for (const link of this.#links) {
      if (link.idleMs() > this.options.silenceMs) link.close("silent");
    }
    this.broadcast(heartbeat);
    for (const address of this.#addresses) this.#dial(address);
    this.#cancelTimer = this.clock.after(
      this.options.heartbeatMs,
      () => this.#tick(),
    );
  }

  /**
   * Dials a peer, unless the peer is the one that dials or the link that was
   * last dialled is still open.
   */
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

/** Splits `ip:port` into the IP address and the port number. */
export function splitAddress(address: string): readonly [string, number] {
  const colon = address.lastIndexOf(":");
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
