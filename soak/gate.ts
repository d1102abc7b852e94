/**
 * A TCP proxy in front of an endpoint that can hold bytes back, as a dark or a
 * cut link does, without closing any connection.
 */
import type { Buffer } from "node:buffer";
import { connect, createServer, type Server, type Socket } from "node:net";
import { listen } from "../fakes/json_http.ts";

/**
 * `open` passes all bytes on. `dark`: nobody is behind the gate, and what is
 * sent waits for the next life. `cut`: bytes wait in both directions while the
 * life behind the gate runs on.
 */
export type GateMode = "open" | "dark" | "cut";

/** Opens a connection to a life, which may close it without being noted. */
function openTo(address: string): Socket {
  const [host, port] = address.split(":");
  const socket = connect({ port: Number(port), host, allowHalfOpen: true });
  socket.on("error", () => socket.destroy());
  return socket;
}

/** One connection through the gate. */
class Link {
  #outbound: Socket | undefined;
  readonly #heldIn: Buffer[] = [];
  readonly #heldOut: Buffer[] = [];
  #hasEnded = false;

  constructor(
    private readonly inbound: Socket,
    private readonly modeOf: () => GateMode,
  ) {
    inbound.on("data", (bytes: Buffer) => this.#takeIn(bytes));
    inbound.on("end", () => this.#takeEnd());
    // A reset discards what the caller has sent and nobody has read.
    inbound.on("error", () => this.close());
  }

  /** Whether a life is behind the connection. */
  get isConnected(): boolean {
    return this.#outbound !== undefined;
  }

  /** Whether bytes of the caller wait. */
  get isHolding(): boolean {
    return this.#heldIn.length > 0;
  }

  /** Connects the caller with a life, and delivers what waits for it. */
  connectTo(address: string): void {
    const outbound = openTo(address);
    this.#outbound = outbound;
    outbound.on("data", (bytes: Buffer) => this.#takeOut(outbound, bytes));
    outbound.on("end", () => this.#closeWith(outbound));
    outbound.on("close", () => this.#closeWith(outbound));
    this.deliver();
  }

  /** Forgets the life behind the gate; the caller does not notice. */
  disconnect(): void {
    const outbound = this.#outbound;
    this.#outbound = undefined;
    this.#heldOut.length = 0;
    outbound?.destroy();
  }

  /** Delivers what waits, in both directions. */
  deliver(): void {
    for (const bytes of this.#heldIn.splice(0)) this.#outbound?.write(bytes);
    for (const bytes of this.#heldOut.splice(0)) this.inbound.write(bytes);
    if (this.#hasEnded) this.#outbound?.end();
  }

  /** Ends the connection on both sides. */
  close(): void {
    this.#heldIn.length = 0;
    this.inbound.destroy();
    this.disconnect();
  }

  #takeIn(bytes: Buffer): void {
    const passes = this.modeOf() === "open" && this.#outbound !== undefined;
    if (passes) this.#outbound?.write(bytes);
    else this.#heldIn.push(bytes);
  }

  #takeEnd(): void {
    this.#hasEnded = true;
    if (this.modeOf() === "open") this.#outbound?.end();
  }

  #takeOut(outbound: Socket, bytes: Buffer): void {
    if (outbound !== this.#outbound) return;
    if (this.modeOf() === "open") this.inbound.write(bytes);
    else this.#heldOut.push(bytes);
  }

  #closeWith(outbound: Socket): void {
    if (outbound !== this.#outbound || this.modeOf() !== "open") return;
    this.inbound.end();
    this.disconnect();
  }
}

/** The gate of one endpoint; its address stays while lives change. */
export class Gate {
  readonly #server: Server;
  readonly #links = new Set<Link>();
  #mode: GateMode = "open";
  /** Address of the life behind the gate; undefined while there is none. */
  #life: string | undefined;

  constructor() {
    this.#server = createServer(
      { allowHalfOpen: true },
      (inbound) => this.#accept(inbound),
    );
  }

  /** Listens on a free loopback port; returns the address. */
  listen(): Promise<string> {
    return listen(this.#server);
  }

  /** Connections on which bytes of callers wait. */
  get heldLinks(): number {
    return [...this.#links].filter((link) => link.isHolding).length;
  }

  /** Connects the gate with a life; what waited is delivered to it. */
  open(life: string): void {
    this.#mode = "open";
    this.#life = life;
    for (const link of this.#links) link.connectTo(life);
  }

  /** Falls silent, as when the life behind the gate has crashed. */
  darken(): void {
    this.#mode = "dark";
    this.#life = undefined;
    for (const link of this.#links) link.disconnect();
  }

  /** Holds bytes back in both directions from now on. */
  cut(): void {
    this.#mode = "cut";
  }

  /** Ends a cut, and delivers what has waited. */
  heal(): void {
    this.#mode = "open";
    for (const link of this.#links) {
      if (link.isConnected || this.#life === undefined) link.deliver();
      else link.connectTo(this.#life);
    }
  }

  /** Ends all connections and stops listening. */
  close(): void {
    this.#server.close();
    for (const link of this.#links) link.close();
  }

  #accept(inbound: Socket): void {
    inbound.setNoDelay(true);
    const link = new Link(inbound, () => this.#mode);
    this.#links.add(link);
    inbound.on("close", () => {
      link.disconnect();
      this.#links.delete(link);
    });
    if (this.#life !== undefined && this.#mode === "open") {
      link.connectTo(this.#life);
    }
  }
}
