/** Links between simulated entries: in order, delayed, cut, and healed. */
import type {
  Heartbeat,
  Hello,
  Member,
  MeshEvents,
  Message,
  PeerNetwork,
} from "../../src/peers/index.ts";
import type { ProcessClock, VirtualClock } from "../../sim/virtual_clock.ts";

const hopMs = 1;
const heartbeatMs = 100;
const silenceMs = 500;
const resendMs = 20;

interface Port {
  readonly hello: Hello;
  readonly events: MeshEvents;
  readonly process: ProcessClock;
  readonly peers: Map<
    string,
    { hello: Hello; heartbeat?: Heartbeat; link: number }
  >;
}

/** Connects the entries of one simulation. */
export class FakeNetwork {
  #ports = new Map<string, Port>();
  #cut = new Set<string>();
  #links = 0;

  constructor(private readonly clock: VirtualClock) {
    this.#tick();
  }

  /** The links of one entry. */
  open(hello: Hello, events: MeshEvents, process: ProcessClock): PeerNetwork {
    const port: Port = { hello, events, process, peers: new Map() };
    return {
      start: () => {
        this.#ports.set(hello.entry, port);
        return Promise.resolve();
      },
      stop: () => this.#close(port),
      setAddresses: () => {},
      members: (): readonly Member[] =>
        [...port.peers.values()].map((p) => ({
          hello: p.hello,
          heartbeat: p.heartbeat,
        })),
      send: (to, message) => this.#send(port, to, message),
      backlog: () => 0,
      broadcast: (message) => {
        for (const to of port.peers.keys()) this.#send(port, to, message);
      },
    };
  }

  /** Cuts or heals the link between two entries. */
  setCut(a: string, b: string, cut: boolean): void {
    const key = pair(a, b);
    if (cut) this.#cut.add(key);
    else this.#cut.delete(key);
  }

  healAll(): void {
    this.#cut.clear();
  }

  /** Breaks the links of a killed process, as its kernel does. */
  died(entry: string): void {
    const port = this.#ports.get(entry);
    if (port !== undefined) this.#close(port);
  }

  #close(port: Port): void {
    if (this.#ports.get(port.hello.entry) === port) {
      this.#ports.delete(port.hello.entry);
    }
    for (const to of port.peers.keys()) {
      const other = this.#ports.get(to);
      if (other !== undefined) this.#drop(other, port.hello.entry, "closed");
    }
    port.peers.clear();
  }

  #drop(port: Port, entry: string, reason: string): void {
    const peer = port.peers.get(entry);
    if (peer === undefined) return;
    port.process.run(() => {
      if (port.peers.get(entry) !== peer) return;
      port.peers.delete(entry);
      port.events.left(peer.hello, reason);
    });
  }

  #send(from: Port, to: string, message: Message): boolean {
    const link = from.peers.get(to)?.link;
    if (link === undefined) return false;
    this.clock.after(hopMs, () => this.#deliver(from, to, link, message));
    return true;
  }

  /** Like TCP, a link loses nothing while it lives: a cut delays frames. */
  #deliver(from: Port, to: string, link: number, message: Message): void {
    if (from.peers.get(to)?.link !== link) return;
    if (this.#cut.has(pair(from.hello.entry, to))) {
      const retry = () => this.#deliver(from, to, link, message);
      this.clock.after(resendMs, retry);
      return;
    }
    const port = this.#ports.get(to);
    port?.process.run(() => {
      const peer = port.peers.get(from.hello.entry);
      if (peer?.link !== link) return;
      if (message.kind === "heartbeat") peer.heartbeat = message;
      port.events.received(from.hello, message);
    });
  }

  #reachable(a: Port, b: Port): boolean {
    return !this.#cut.has(pair(a.hello.entry, b.hello.entry)) &&
      !a.process.isPaused && !b.process.isPaused;
  }

  readonly #silentSince = new Map<string, number>();

  #tick(): void {
    const ports = [...this.#ports.values()];
    for (const a of ports) {
      for (const b of ports) {
        if (a.hello.entry < b.hello.entry) this.#tend(a, b);
      }
      if (!a.process.isPaused) {
        const heartbeat = a.events.heartbeat();
        for (const to of a.peers.keys()) this.#send(a, to, heartbeat);
      }
    }
    this.clock.after(heartbeatMs, () => this.#tick());
  }

  #tend(a: Port, b: Port): void {
    const key = pair(a.hello.entry, b.hello.entry);
    if (this.#reachable(a, b)) {
      this.#silentSince.delete(key);
      const linked = a.peers.get(b.hello.entry)?.link;
      if (linked === undefined || b.peers.get(a.hello.entry)?.link !== linked) {
        this.#drop(a, b.hello.entry, "replaced");
        this.#drop(b, a.hello.entry, "replaced");
        this.#links++;
        a.peers.set(b.hello.entry, { hello: b.hello, link: this.#links });
        b.peers.set(a.hello.entry, { hello: a.hello, link: this.#links });
        a.events.joined(b.hello);
        b.events.joined(a.hello);
      }
      return;
    }
    const since = this.#silentSince.get(key) ?? this.clock.now();
    this.#silentSince.set(key, since);
    if (this.clock.now() - since < silenceMs) return;
    this.#drop(a, b.hello.entry, "silent");
    this.#drop(b, a.hello.entry, "silent");
  }
}

function pair(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}
