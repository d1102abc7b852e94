/** A crowd of connections that keep no limits, and one ordinary caller. */
import type { Buffer } from "node:buffer";
import { request } from "node:http";
import { connect, type Socket } from "node:net";
import { authority, pathPrefix } from "../soak/site.ts";
import { host } from "./child.ts";

/** Connections that are opened side by side. */
const openedAtOnce = 200;

/** Longest time to open a connection or to send all on it, in ms. */
const sendMs = 3_000;

/** Longest time until an ordinary caller has its answer, with retries, in ms. */
const answerMs = 30_000;

/** Longest wait of an ordinary caller for one answer, in ms. */
const attemptMs = 5_000;

/** Pause of an ordinary caller before it tries again, in ms. */
const retryPauseMs = 100;

/** The local address of ordinary callers, which is not that of the crowd. */
const ordinaryAddress = "127.0.0.9";

/** How one connection of a crowd behaves. */
export interface HostileClient {
  /** What it sends. */
  readonly bytes: Buffer | string;
  /** Whether it resets its connection after it has sent that. */
  readonly leaves?: boolean;
  /** Whether it reads what it is sent. */
  readonly reads?: boolean;
}

/** Connections that stay open until the crowd leaves. */
export class Crowd {
  readonly #sockets: Socket[] = [];

  /**
   * Opens a connection for each client and sends its bytes. Resolves when
   * all is sent, or as much as the other side takes.
   */
  async send(port: number, clients: readonly HostileClient[]): Promise<void> {
    for (let i = 0; i < clients.length; i += openedAtOnce) {
      const group = clients.slice(i, i + openedAtOnce);
      await Promise.all(group.map((client) => this.#sendOne(port, client)));
    }
  }

  /** Resets all connections. */
  leave(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  #sendOne(port: number, client: HostileClient): Promise<void> {
    return new Promise((resolve) => {
      const socket = connect(port, host);
      this.#sockets.push(socket);
      if (client.reads) socket.resume();
      const timer = setTimeout(resolve, sendMs);
      const finish = () => {
        clearTimeout(timer);
        resolve();
      };
      socket.once("error", finish);
      socket.once("close", finish);
      socket.write(client.bytes, () => {
        if (client.leaves) socket.resetAndDestroy();
        finish();
      });
    });
  }
}

/** A request of an ordinary caller. */
export interface OrdinaryRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body: string;
}

/** A request to run a job of one task. */
export function jobRequest(job: string): OrdinaryRequest {
  const body = JSON.stringify({ spec: "x", phases: [{ count: 1, cpu: 1 }] });
  return { method: "POST", path: pathPrefix("fit-check") + job, body };
}

/** Sends a request; returns the status of the answer, or undefined for none. */
function sendOnce(
  port: number,
  { method, path, body }: OrdinaryRequest,
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = request({
      host,
      port,
      method,
      path,
      headers: { host: authority, "deadline-ms": String(attemptMs) },
      localAddress: ordinaryAddress,
      agent: false,
      timeout: attemptMs,
    }, (res) => {
      res.resume();
      resolve(res.statusCode);
    });
    req.once("timeout", () => req.destroy(new Error("timeout")));
    req.once("error", () => resolve(undefined));
    req.end(body);
  });
}

/**
 * Sends a request as an ordinary caller does: again while there is no answer, or
 * one that says that it was not accepted. Returns the last status.
 */
export async function askAsOrdinaryCaller(
  port: number,
  ordinary: OrdinaryRequest,
): Promise<number | undefined> {
  const deadline = Date.now() + answerMs;
  for (;;) {
    const status = await sendOnce(port, ordinary);
    const isFinal = status !== undefined && status !== 429 && status < 500;
    if (isFinal || Date.now() > deadline) return status;
    await new Promise((resolve) => setTimeout(resolve, retryPauseMs));
  }
}
