/**
 * The server of the operator API: JSON over HTTP on an address of its own, with
 * a bearer token.
 */
import type { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Result } from "ts-results";
import {
  createGuardedServer,
  defaultConnectionLimits,
  defaultGuard,
  sideListenerLimits,
} from "../connection_budget/index.ts";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";
import type { ChangeContext } from "../table/index.ts";
import { entryRoutes, hostRoutes, waveRoutes } from "./fleet_routes.ts";
import { jobRoutes } from "./job_routes.ts";
import { readJsonBody, replyFailure, replyJson } from "./json_body.ts";
import type { OperatorApiDependencies, Route } from "./route.ts";
import { statusRoutes } from "./status_routes.ts";
import { tableRoutes } from "./table_routes.ts";

/** Maximum time to receive a whole request, in ms. */
const requestTimeoutMs = 15_000;

/** Limits of the connections; a command may wait for as long as it needs. */
const limits = {
  ...sideListenerLimits(defaultConnectionLimits),
  headersMs: requestTimeoutMs,
  requestMs: requestTimeoutMs,
  stallMs: 0,
};

/** Serves the operator API over HTTP. */
export class OperatorApi {
  readonly #server: Server;
  readonly #routes: readonly Route[];

  constructor(private readonly deps: OperatorApiDependencies) {
    this.#routes = buildRoutes(deps);
    const budget = deps.budget ?? defaultGuard().budget;
    this.#server = createGuardedServer(
      { budget, limits },
      (req, res) => this.#handleRequest(req, res),
    );
  }

  /** Listens on an address; rejects if that fails. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    try {
      if (!this.#isAuthorised(req)) {
        const { meaning } = codes.unauthorised;
        return replyFailure(res, {
          code: codes.unauthorised,
          message: meaning,
        });
      }
      const result = await this.#dispatchRequest(req);
      if (result.err) return replyFailure(res, result.val);
      replyJson(res, codes.ok.http, result.val);
    } catch (err) {
      const message = describeError(err);
      replyFailure(res, { code: codes.internal, message });
    }
  }

  #isAuthorised(req: IncomingMessage): boolean {
    // Digests have equal lengths, which `timingSafeEqual` requires.
    const givenDigest = sha256(req.headers.authorization ?? "");
    return timingSafeEqual(givenDigest, sha256(`Bearer ${this.deps.token}`));
  }

  async #dispatchRequest(
    req: IncomingMessage,
  ): Promise<Result<unknown, Failure>> {
    const url = new URL(req.url ?? "/", "http://operator");
    for (const route of this.#routes) {
      const match = route.path.exec(url.pathname);
      if (match === null || route.method !== req.method) continue;
      const body = await readJsonBody(req);
      if (body.err) return body;
      return await route.handle({
        body: body.val,
        query: url.searchParams,
        pathArgs: match.slice(1).map(decodeURIComponent),
        ctx: this.#changeContext(req),
      });
    }
    return fail(
      codes.notFound,
      `unknown operation ${req.method} ${url.pathname}`,
    );
  }

  /** Returns a change's context, by `operator` if no valid name is given. */
  #changeContext(req: IncomingMessage): ChangeContext {
    const who = req.headers["briartide-operator"];
    const valid = typeof who === "string" && /^[\w.@-]{1,64}$/.test(who);
    return {
      who: valid ? who : "operator",
      at: this.deps.clock.wall(),
      operation: this.deps.ids.next(),
    };
  }
}

function buildRoutes(deps: OperatorApiDependencies): readonly Route[] {
  return [
    ...statusRoutes(deps),
    ...tableRoutes(deps),
    ...hostRoutes(deps),
    ...waveRoutes(deps),
    ...entryRoutes(deps),
    ...jobRoutes(deps),
  ];
}

function sha256(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}
