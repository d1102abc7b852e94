/** Simulated network of entries: links deliver in order and can be cut. */
import type {
  Heartbeat,
  Hello,
  MeshEvents,
  Message,
  PeerMember,
  PeerNetwork,
} from "../../src/peers/index.ts";
import type { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";

const networkDelayMs = 1;
const heartbeatIntervalMs = 100;
const silenceTimeoutMs = 500;
const resendIntervalMs = 20;

/** One entry in the network. */
interface MeshNode {
  readonly hello: Hello;
  readonly events: MeshEvents;
  readonly process: ProcessClock;
  readonly peers: Map<
    string,
    { hello: Hello; heartbeat?: Heartbeat; linkId: number }
  >;
}

/** Connects the entries of one simulation. */
export class FakeNetwork {
  #nodes = new Map<string, MeshNode>();
  #cutLinks = new Set<string>();
  #lastLinkId = 0;

  constructor(private readonly clock: VirtualClock) {
    this.#tick();
  }

  /** Returns the network as one entry sees it. */
  open(hello: Hello, events: MeshEvents, process: ProcessClock): PeerNetwork {
    const node: MeshNode = {
      hello,
      events,
      process,
      peers: new Map(),
    };
    return {
      start: () => {
        this.#nodes.set(hello.entry, node);
        return Promise.resolve();
      },
      stop: () => this.#close(node),
      setAddresses: () => {},
      members: (): readonly PeerMember[] =>
        [...node.peers.values()].map((p) => ({
          hello: p.hello,
          heartbeat: p.heartbeat,
        })),
      send: (to, message) => this.#send(node, to, message),
      backlog: () => 0,
      broadcast: (message) => {
        for (const to of node.peers.keys()) this.#send(node, to, message);
      },
    };
  }

  /** Cuts or restores the link between two entries. */
  setCut(a: string, b: string, cut: boolean): void {
    const key = linkKey(a, b);
    if (cut) this.#cutLinks.add(key);
    else this.#cutLinks.delete(key);
  }

  /** Restores all links. */
  restoreAll(): void {
    this.#cutLinks.clear();
  }

  /** Closes the links of a killed process, as the operating system does. */
  disconnectKilled(entry: string): void {
    const node = this.#nodes.get(entry);
    if (node !== undefined) this.#close(node);
  }

  #close(node: MeshNode): void {
    if (this.#nodes.get(node.hello.entry) === node) {
      this.#nodes.delete(node.hello.entry);
    }
    for (const to of node.peers.keys()) {
      const other = this.#nodes.get(to);
      if (other !== undefined) this.#unlink(other, node.hello.entry, "closed");
    }
    node.peers.clear();
  }

  /** Removes a peer of a node, unless a newer link has replaced it. */
  #unlink(node: MeshNode, entry: string, reason: string): void {
    const peer = node.peers.get(entry);
    if (peer === undefined) return;
    node.process.runOrDefer(() => {
      if (node.peers.get(entry) !== peer) return;
      node.peers.delete(entry);
      node.events.onPeerLeft(peer.hello, reason);
    });
  }

  #send(from: MeshNode, to: string, message: Message): boolean {
    const linkId = from.peers.get(to)?.linkId;
    if (linkId === undefined) return false;
    this.clock.after(
      networkDelayMs,
      () => this.#deliver(from, to, linkId, message),
    );
    return true;
  }

  /**
   * Delivers a message. As with TCP, a cut only delays messages as long as the
   * link exists.
   */
  #deliver(
    from: MeshNode,
    to: string,
    linkId: number,
    message: Message,
  ): void {
    if (from.peers.get(to)?.linkId !== linkId) return;
    if (this.#cutLinks.has(linkKey(from.hello.entry, to))) {
      const retry = () => this.#deliver(from, to, linkId, message);
      this.clock.after(resendIntervalMs, retry);
      return;
    }
    const receiver = this.#nodes.get(to);
    receiver?.process.runOrDefer(() => {
      const peer = receiver.peers.get(from.hello.entry);
      if (peer?.linkId !== linkId) return;
      if (message.kind === "heartbeat") peer.heartbeat = message;
      receiver.events.onMessage(from.hello, message);
    });
  }

  #reachable(a: MeshNode, b: MeshNode): boolean {
    return !this.#cutLinks.has(linkKey(a.hello.entry, b.hello.entry)) &&
      !a.process.isPaused && !b.process.isPaused;
  }

  /** Virtual time in ms since which two entries cannot reach each other. */
  readonly #unreachableSince = new Map<string, number>();

  /** Updates all links and sends heartbeats. */
  #tick(): void {
    const nodes = [...this.#nodes.values()];
    for (const a of nodes) {
      for (const b of nodes) {
        if (a.hello.entry < b.hello.entry) this.#updateLink(a, b);
      }
      if (!a.process.isPaused) {
        const heartbeat = a.events.buildHeartbeat();
        for (const to of a.peers.keys()) this.#send(a, to, heartbeat);
      }
    }
    this.clock.after(heartbeatIntervalMs, () => this.#tick());
  }

  /** Links two nodes that reach each other; unlinks them after the timeout. */
  #updateLink(a: MeshNode, b: MeshNode): void {
    const key = linkKey(a.hello.entry, b.hello.entry);
    if (this.#reachable(a, b)) {
      this.#unreachableSince.delete(key);
      const linkId = a.peers.get(b.hello.entry)?.linkId;
      if (
        linkId === undefined || b.peers.get(a.hello.entry)?.linkId !== linkId
      ) {
        this.#unlink(a, b.hello.entry, "replaced");
        this.#unlink(b, a.hello.entry, "replaced");
        this.#lastLinkId++;
        a.peers.set(b.hello.entry, {
          hello: b.hello,
          linkId: this.#lastLinkId,
        });
        b.peers.set(a.hello.entry, {
          hello: a.hello,
          linkId: this.#lastLinkId,
        });
        a.events.onPeerJoined(b.hello);
        b.events.onPeerJoined(a.hello);
      }
      return;
    }
    const since = this.#unreachableSince.get(key) ?? this.clock.now();
    this.#unreachableSince.set(key, since);
    if (this.clock.now() - since < silenceTimeoutMs) return;
    this.#unlink(a, b.hello.entry, "silent");
    this.#unlink(b, a.hello.entry, "silent");
  }
}

/** Returns the key of the link between two entries, in either order. */
function linkKey(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}
