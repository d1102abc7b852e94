/**
 * Raw TCP servers that stand in for endpoints, inside a worker thread: they go
 * on while the thread of the test is blocked. Each records the orders that it
 * has read whole, and then does what its behaviour says.
 */
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { parentPort, workerData } from "node:worker_threads";

/** Time that an answer takes, in ms, so that the orders of a burst queue. */
const answerDelayMs = 20;

/** What a stand-in does after it has read a whole order. */
export type Behaviour =
  /** Answers with a status and a body. */
  | { readonly kind: "answer"; readonly status: number; readonly body: string }
  /** Sends these bytes and closes the connection. */
  | { readonly kind: "send-and-close"; readonly text: string }
  /** Sends these bytes and resets the connection. */
  | { readonly kind: "send-and-reset"; readonly text: string }
  /** Resets all connections and accepts no more. */
  | { readonly kind: "stop" }
  /** The same, then listens at the same port as the next incarnation. */
  | { readonly kind: "restart" }
  /** Answers nothing. */
  | { readonly kind: "silent" }
  /** Resets each connection before it reads anything. */
  | { readonly kind: "reset-on-accept" };

/** An order that a stand-in has read whole. */
export interface ReadOrder {
  readonly path: string;
  /** The task's name; empty for an order without a task. */
  readonly task: string;
  /** Incarnation of the stand-in that read it, from 1. */
  readonly incarnation: number;
  /** Wall-clock time at which it was read, in ms. */
  readonly readAt: number;
}

/** A request to the worker thread. */
export type StandInRequest =
  | { readonly kind: "open"; readonly port: number; behaviour: Behaviour }
  | { readonly kind: "behave"; readonly port: number; behaviour: Behaviour }
  | { readonly kind: "restart"; readonly port: number }
  | { readonly kind: "stop"; readonly port: number }
  | { readonly kind: "orders"; readonly port: number }
  | { readonly kind: "pause" };

/** Returns the bytes of a response with a JSON body. */
function responseText(status: number, body: string): string {
  const length = status === 204 ? "" : `content-length: ${body.length}\r\n`;
  return `HTTP/1.1 ${status} Status\r\n${length}\r\n${body}`;
}

/** Returns the first whole request in `text` and the rest, if there is one. */
function takeRequest(text: string) {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd);
  const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
  const end = headEnd + 4 + length;
  if (text.length < end) return undefined;
  const path = head.split(" ")[1];
  return { path, body: text.slice(headEnd + 4, end), rest: text.slice(end) };
}

/** One stand-in; a restart keeps its port. */
class StandInServer {
  readonly orders: ReadOrder[] = [];
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #incarnation = 0;

  constructor(public behaviour: Behaviour) {}

  /** Listens as a new incarnation; returns the port. */
  async listen(port: number): Promise<number> {
    this.#incarnation++;
    const incarnation = this.#incarnation;
    this.#server = createServer((socket) => this.#serve(socket, incarnation));
    this.#server.listen(port, "127.0.0.1");
    await once(this.#server, "listening");
    return (this.#server.address() as AddressInfo).port;
  }

  /** Resets all connections and closes the listener. */
  async stop(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return;
    this.#server = undefined;
    const closed = once(server, "close");
    server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await closed;
  }

  #serve(socket: Socket, incarnation: number): void {
    if (this.behaviour.kind === "reset-on-accept") {
      socket.resetAndDestroy();
      return;
    }
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk;
      for (let req = takeRequest(text); req; req = takeRequest(text)) {
        text = req.rest;
        const body = req.body === "" ? {} : JSON.parse(req.body);
        this.#handle(socket, incarnation, req.path, body);
      }
    });
  }

  #handle(
    socket: Socket,
    incarnation: number,
    path: string,
    body: { task?: string; waitMs?: number },
  ): void {
    const { task = "", waitMs } = body;
    const readAt = performance.timeOrigin + performance.now();
    this.orders.push({ path, task, incarnation, readAt });
    if (waitMs !== undefined && waitMs > 0) {
      // Without the field that tells the incarnation, which is optional.
      const lists = JSON.stringify({ clockMs: 1, running: [], finished: [] });
      setTimeout(() => socket.write(responseText(200, lists)), waitMs);
      return;
    }
    setTimeout(() => this.#respond(socket, incarnation), answerDelayMs);
  }

  #respond(socket: Socket, incarnation: number): void {
    if (socket.destroyed) return;
    const { behaviour } = this;
    switch (behaviour.kind) {
      case "answer":
        socket.write(responseText(behaviour.status, behaviour.body));
        break;
      case "send-and-close":
        socket.end(behaviour.text);
        break;
      case "send-and-reset":
        socket.write(behaviour.text, () => socket.resetAndDestroy());
        break;
      case "stop":
        this.stop();
        break;
      case "restart":
        if (incarnation === this.#incarnation && incarnation === 1) {
          this.restart(socket.localPort ?? 0);
        } else socket.write(responseText(200, '{"clockMs":1}'));
    }
  }

  async restart(port: number): Promise<void> {
    await this.stop();
    await this.listen(port);
  }
}

/** Handles the requests of the test's thread. */
export function serveStandIns(): void {
  const servers = new Map<number, StandInServer>();
  const resume = new Int32Array(workerData as SharedArrayBuffer);
  const handle = async (request: StandInRequest): Promise<unknown> => {
    if (request.kind === "open") {
      const server = new StandInServer(request.behaviour);
      const port = await server.listen(request.port);
      servers.set(port, server);
      return port;
    }
    if (request.kind === "pause") {
      Atomics.wait(resume, 0, 0);
      Atomics.store(resume, 0, 0);
      return undefined;
    }
    const server = servers.get(request.port);
    if (request.kind === "behave" && server !== undefined) {
      server.behaviour = request.behaviour;
    }
    if (request.kind === "restart") await server?.restart(request.port);
    if (request.kind === "stop") await server?.stop();
    return server?.orders;
  };
  parentPort?.on("message", async ({ id, request }) => {
    parentPort?.postMessage({ id, reply: await handle(request) });
  });
}
