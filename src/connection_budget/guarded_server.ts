/**
 * HTTP servers whose connections and requests are part of a budget.
 *
 * Time and size limits are those of Node.js where it has them; the number of
 * connections and of requests ahead, and the memory held, are checked here.
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { codes, type ResultCode } from "../errors/index.ts";
import { ConnectionBudget } from "./budget.ts";
import { GuardedConnection } from "./connection.ts";
import {
  applyServerLimits,
  type ConnectionLimits,
  defaultConnectionLimits,
  serverOptions,
} from "./limits.ts";
import { discardBody } from "./read_body.ts";
import { readInSlices } from "./read_slices.ts";
import { type GuardedRequest, guardRequest } from "./request.ts";
import { sendResponse } from "./send_response.ts";

/** `retry-after` of a refusal, in seconds. */
const retryAfterS = 1;

/** The budget and the limits of a server. */
export interface Guard {
  readonly budget: ConnectionBudget;
  readonly limits: ConnectionLimits;
}

/** Creates a guard with a budget of its own and the default limits. */
export function defaultGuard(): Guard {
  const limits = defaultConnectionLimits;
  return { limits, budget: new ConnectionBudget(limits.heldBytes) };
}

/** Refuses a request that was not run. */
function refuse(
  req: IncomingMessage,
  res: ServerResponse,
  { code, name, run, http, meaning }: ResultCode,
): void {
  const body = JSON.stringify({ code, name, run, message: meaning });
  const headers = {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...(http === 503 && { "retry-after": String(retryAfterS) }),
  };
  sendResponse(req, res, { status: http, headers, body });
}

/** Whether a request lacks the header that HTTP/1.1 requires. */
function lacksHost({ httpVersion, headers }: IncomingMessage): boolean {
  return httpVersion === "1.1" && headers.host === undefined;
}

/** Returns why a request is refused before it is handled, if it is. */
function refusalOf(
  req: IncomingMessage,
  request: GuardedRequest,
): ResultCode | undefined {
  if (lacksHost(req)) return codes.badRequest;
  return request.admit() ? undefined : codes.overloaded;
}

/** The connections of one server. */
class ConnectionGuard {
  readonly #connections = new Map<Socket, GuardedConnection>();
  readonly #listed = new Set<GuardedConnection>();

  constructor(
    private readonly guard: Guard,
    private readonly handle: RequestListener,
  ) {}

  /** Adds a connection, or closes it if there is no room. */
  readonly accept = (socket: Socket): void => {
    const { budget, limits } = this.guard;
    if (this.#listed.size >= limits.connections && !this.#freeOne(socket)) {
      socket.destroy();
      return;
    }
    const connection = new GuardedConnection(budget, socket);
    readInSlices(socket, (slice) => connection.receive(slice));
    this.#connections.set(socket, connection);
    this.#listed.add(connection);
    socket.once("close", () => {
      this.#connections.delete(socket);
      this.#listed.delete(connection);
      budget.remove(connection);
    });
  };

  /** Closes a connection to make room for another; false if it can't. */
  #freeOne({ remoteAddress = "" }: Socket): boolean {
    const { budget } = this.guard;
    const closed = budget.freeConnection(this.#listed, remoteAddress);
    return closed !== undefined && this.#listed.delete(closed);
  }

  /** Passes a request on to the handler, unless a limit is met. */
  readonly serve = (req: IncomingMessage, res: ServerResponse): void => {
    const connection = this.#connections.get(req.socket);
    // Requests that arrived together are emitted after the first was too many.
    if (connection === undefined || connection.isDestroyed) return;
    const { budget, limits } = this.guard;
    if (connection.requests.size >= limits.requestsAhead) {
      budget.countRequestsAhead(connection);
      connection.destroy();
      return;
    }
    const request = guardRequest(connection, req, res);
    const refusal = refusalOf(req, request);
    if (refusal === undefined) this.handle(req, res);
    else refuse(req, res, refusal);
    if (!request.isReading) discardBody(req);
  };
}

/** Creates an HTTP server that keeps the limits of a guard. */
export function createGuardedServer(
  guard: Guard,
  handle: RequestListener,
): Server {
  const connections = new ConnectionGuard(guard, handle);
  const server = createServer(serverOptions(guard.limits), connections.serve);
  applyServerLimits(server, guard.limits);
  server.on("connection", connections.accept);
  return server;
}
