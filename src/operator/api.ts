/**
 * The server of the operator API: JSON over HTTP on an address of its own, with
 * a bearer token.
 */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Ok, type Result } from "ts-results";
import * as v from "valibot";
import { readAudit } from "../audit/index.ts";
import { readBody } from "../caller/index.ts";
import { type Clock, delay, type IdSource } from "../clock/index.ts";
import type { EndpointClient } from "../endpoint/index.ts";
import { codes, describeError, fail, type Failure } from "../errors/index.ts";
import type { FleetEvent, FleetState } from "../fleet/index.ts";
import type { JobService } from "../jobs/index.ts";
import type { WaveCommand } from "../maintenance/index.ts";
import type { PeerMember } from "../peers/index.ts";
import type { Platform } from "../platform/index.ts";
import {
  type ChangeContext,
  commitEdit,
  editSchema,
  findMismatchedKeys,
  readTable,
} from "../table/index.ts";
import {
  type EntryStatus,
  moveRequestSchema,
  settleRequestSchema,
  wavePlanSchema,
} from "./api_types.ts";
import {
  controlWave,
  createWave,
  drainHostForOperator,
  forgetEntry,
  moveHostForOperator,
  readWaves,
  returnHostForOperator,
} from "./fleet_changes.ts";
import { entryVersions, groupByConfirmation } from "./table_confirmations.ts";

/** Maximum size of a request body in bytes. */
const maxBodyBytes = 8 * 1024 * 1024;
/** Maximum time to receive a whole request, in ms. */
const requestTimeoutMs = 15_000;
/** Interval in ms at which a waiting request checks for confirmations. */
const confirmationPollMs = 10;
/** Maximum time in ms that a request waits for confirmations. */
const maxConfirmationWaitMs = 60_000;
/** Number of audit records in a reply if the request sets no limit. */
const defaultAuditRecords = 100;

/** Dependencies of the operator API. */
export interface OperatorApiDependencies {
  /** Bearer token that requests must present. */
  readonly token: string;
  /** Id of this entry. */
  readonly entry: string;
  /** Availability zone of this entry. */
  readonly zone: string;
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  readonly jobs: JobService;
  readonly ids: IdSource;
  readonly clock: Clock;
  /** Returns the fleet state as this entry knows it. */
  fleetState(): FleetState;
  /** Returns the entries connected to this one. */
  members(): readonly PeerMember[];
  /** Queues an event that updates the fleet state. */
  applyEvent(event: FleetEvent): void;
  /** Returns the entry's own part of the status reply. */
  status(): EntryStatus;
}

/** A request that matched a route. */
interface OperatorRequest {
  /** Parsed JSON body; undefined if there is none. */
  readonly body: unknown;
  readonly query: URLSearchParams;
  /** Decoded groups of the route's path pattern. */
  readonly pathArgs: readonly string[];
  readonly ctx: ChangeContext;
}

/** Handles a request and returns the body of the reply. */
type Handler = (call: OperatorRequest) => Promise<Result<unknown, Failure>>;

interface Route {
  readonly method: string;
  readonly path: RegExp;
  readonly handle: Handler;
}

/** Serves the operator API over HTTP. */
export class OperatorApi {
  readonly #server: Server;
  readonly #routes: readonly Route[];

  constructor(private readonly deps: OperatorApiDependencies) {
    this.#routes = this.#buildRoutes();
    this.#server = createServer({
      requestTimeout: requestTimeoutMs,
      headersTimeout: requestTimeoutMs,
    }, (req, res) => this.#handleRequest(req, res));
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

  #buildRoutes(): readonly Route[] {
    const { deps } = this;
    const { jobs } = deps;
    const get = (path: RegExp, handle: Handler) => {
      return { method: "GET", path, handle };
    };
    const post = (path: RegExp, handle: Handler) => {
      return { method: "POST", path, handle };
    };
    return [
      get(/^\/v1\/status$/, () => Promise.resolve(Ok(this.#status()))),
      get(/^\/v1\/table$/, () => this.#readTable()),
      post(/^\/v1\/table$/, (call) => this.#editTable(call)),
      get(/^\/v1\/table\/force$/, (call) => this.#awaitConfirmations(call)),
      get(/^\/v1\/hosts$/, () => Promise.resolve(Ok(this.#hosts()))),
      post(
        /^\/v1\/hosts\/([^/]+)\/drain$/,
        async ({ pathArgs, ctx }) =>
          this.#publishHost(await drainHostForOperator(deps, pathArgs[0], ctx)),
      ),
      post(
        /^\/v1\/hosts\/([^/]+)\/return$/,
        async ({ pathArgs, ctx }) =>
          this.#publishHost(
            await returnHostForOperator(deps, pathArgs[0], ctx),
          ),
      ),
      post(
        /^\/v1\/hosts\/([^/]+)\/move$/,
        async ({ pathArgs, ctx, body }) => {
          const request = parseBody(moveRequestSchema, body);
          if (request.err) return request;
          const { pool } = request.val;
          return this.#publishHost(
            await moveHostForOperator(deps, pathArgs[0], pool, ctx),
          );
        },
      ),
      get(
        /^\/v1\/waves$/,
        async () => (await readWaves(deps)).map((waves) => ({ waves })),
      ),
      post(/^\/v1\/waves$/, async ({ body, ctx }) => {
        const plan = parseBody(wavePlanSchema, body);
        if (plan.err) return plan;
        const wave = await createWave(deps, plan.val, ctx);
        return wave.map((value) => ({ wave: value }));
      }),
      post(
        /^\/v1\/waves\/([^/]+)\/(start|approve|pause|resume|stop)$/,
        async ({ pathArgs, ctx }) => {
          const command = pathArgs[1] as WaveCommand;
          const wave = await controlWave(deps, pathArgs[0], command, ctx);
          return wave.map((value) => ({ wave: value }));
        },
      ),
      post(
        /^\/v1\/entries\/([^/]+)\/forget$/,
        async ({ pathArgs, ctx }) =>
          (await forgetEntry(deps, pathArgs[0], ctx)).map((zones) => ({
            zones,
          })),
      ),
      get(
        /^\/v1\/jobs$/,
        async () =>
          (await jobs.list()).map((list) => ({
            jobs: list.map((j) => j.value),
          })),
      ),
      get(
        /^\/v1\/jobs\/([^/]+)$/,
        async ({ pathArgs }) =>
          (await jobs.find(pathArgs[0])).map((job) => ({ job: job.value })),
      ),
      post(
        /^\/v1\/jobs\/([^/]+)\/cancel$/,
        async ({ pathArgs, ctx }) =>
          (await jobs.cancel(pathArgs[0], ctx)).map((job) => ({
            job: job.value,
          })),
      ),
      post(
        /^\/v1\/jobs\/([^/]+)\/resume$/,
        async ({ pathArgs, ctx }) =>
          (await jobs.resume(pathArgs[0], ctx)).map((job) => ({
            job: job.value,
          })),
      ),
      post(
        /^\/v1\/jobs\/([^/]+)\/settle$/,
        async ({ pathArgs, ctx, body }) => {
          const request = parseBody(settleRequestSchema, body);
          if (request.err) return request;
          const job = await jobs.settle(pathArgs[0], request.val.as, ctx);
          return job.map((value) => ({ job: value.value }));
        },
      ),
      get(/^\/v1\/audit$/, async ({ query }) => {
        const limit = Number(query.get("limit") ?? defaultAuditRecords);
        const records = await readAudit(deps.platform.table, limit);
        return records.map((list) => ({ records: list }));
      }),
    ];
  }

  #status() {
    const { deps } = this;
    return {
      ...deps.status(),
      entry: deps.entry,
      zone: deps.zone,
      tableVersion: deps.fleetState().table.version,
      entries: entryVersions(this.#entryView()),
    };
  }

  /** Collects what this entry knows of the other entries. */
  #entryView() {
    const { entry, zone } = this.deps;
    const state = this.deps.fleetState();
    return { entry, zone, state, members: this.deps.members() };
  }

  #hosts() {
    const hosts = [...this.deps.fleetState().hosts.values()];
    hosts.sort((a, b) => a.name.localeCompare(b.name));
    return { hosts };
  }

  /**
   * Reads the committed table. If the platform fails, returns the table that is
   * in force on this entry.
   */
  async #readTable(): Promise<Result<unknown, Failure>> {
    const committed = await readTable(this.deps.platform.table);
    const table = committed.ok ? committed.val : this.deps.fleetState().table;
    if (committed.err && table.version === 0) return committed;
    return Ok({ version: table.version, rows: [...table.rows.values()] });
  }

  /** Commits an edit and passes the new table to this entry at once. */
  async #editTable(
    { body, ctx }: OperatorRequest,
  ): Promise<Result<unknown, Failure>> {
    const edit = parseBody(editSchema, body);
    if (edit.err) return edit;
    const mismatchedKeys = findMismatchedKeys(edit.val);
    if (mismatchedKeys.length > 0) {
      return fail(
        codes.badCommand,
        `keys do not match their rows: ${mismatchedKeys}`,
      );
    }
    const version = await commitEdit(this.deps.platform, edit.val, ctx);
    if (version.err) return version;
    const table = await readTable(this.deps.platform.table);
    if (table.ok) this.deps.applyEvent({ kind: "table", table: table.val });
    return Ok({ version: version.val });
  }

  /**
   * Waits until every reachable entry has a table version in force or the time
   * limit has passed. Returns the entries by whether they have it in force.
   */
  async #awaitConfirmations(
    { query }: OperatorRequest,
  ): Promise<Result<unknown, Failure>> {
    const version = Number(query.get("version") ?? 0);
    const waitMs = Math.min(
      maxConfirmationWaitMs,
      Number(query.get("wait") ?? 0),
    );
    const deadline = this.deps.clock.now() + waitMs;
    for (;;) {
      const result = groupByConfirmation(this.#entryView(), version);
      const timedOut = this.deps.clock.now() >= deadline;
      if (result.pending.length === 0 || timedOut) return Ok(result);
      await delay(this.deps.clock, confirmationPollMs);
    }
  }

  /** Applies a changed host to this entry's fleet state at once. */
  #publishHost(
    result: Awaited<ReturnType<typeof drainHostForOperator>>,
  ): Result<unknown, Failure> {
    if (result.ok) this.deps.applyEvent({ kind: "hosts", rows: [result.val] });
    return result.map((value) => ({ host: value }));
  }
}

function sha256(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

/** Reads and parses a JSON body; undefined if the body is empty. */
async function readJsonBody(
  req: IncomingMessage,
): Promise<Result<unknown, Failure>> {
  const bytes = await readBody(req, maxBodyBytes);
  if (bytes.err) return bytes;
  if (bytes.val.length === 0) return Ok(undefined);
  try {
    return Ok(JSON.parse(Buffer.from(bytes.val).toString("utf8")));
  } catch (err) {
    return fail(codes.badCommand, `malformed JSON body: ${describeError(err)}`);
  }
}

/** Validates a body. Fails with `badCommand`. */
function parseBody<T extends v.GenericSchema>(
  schema: T,
  body: unknown,
): Result<v.InferOutput<T>, Failure> {
  const parsed = v.safeParse(schema, body);
  if (parsed.success) return Ok(parsed.output);
  const issues = parsed.issues.map((issue) => ({
    key: v.getDotPath(issue) ?? "body",
    value: JSON.stringify(issue.input) ?? "missing",
    allowed: issue.message,
  }));
  return fail(codes.badCommand, "the body does not match the schema", {
    issues,
  });
}

function replyFailure(res: ServerResponse, failure: Failure): void {
  const { code, message, issues, conflicts } = failure;
  replyJson(res, code.http, {
    code: code.code,
    name: code.name,
    message,
    issues,
    conflicts,
  });
}

function replyJson(res: ServerResponse, status: number, body: unknown): void {
  const bytes = Buffer.from(JSON.stringify(body));
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": bytes.length,
  });
  res.end(bytes);
}
