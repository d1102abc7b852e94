/**
 * The operator API: JSON over HTTP on its own address, behind a bearer token.
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
import type { Member } from "../peers/index.ts";
import type { Platform } from "../platform/index.ts";
import {
  type ChangeContext,
  commitEdit,
  editSchema,
  misnamedChanges,
  readTable,
} from "../table/index.ts";
import {
  type EntryStatus,
  moveRequestSchema,
  settleRequestSchema,
  wavePlanSchema,
} from "./api_types.ts";
import {
  drainCommand,
  forgetEntry,
  moveCommand,
  planCommand,
  readWaves,
  returnCommand,
  waveCommand,
} from "./fleet_commands.ts";
import { entryVersions, forceOf } from "./force.ts";

const maxBodyBytes = 8 * 1024 * 1024;
const requestTimeoutMs = 15_000;
const forcePollMs = 10;
const maxWaitMs = 60_000;
const defaultAuditRecords = 100;

/** What the API needs of the entry. */
export interface OperatorParts {
  readonly token: string;
  readonly entry: string;
  readonly zone: string;
  readonly platform: Platform;
  readonly endpoints: EndpointClient;
  readonly jobs: JobService;
  readonly ids: IdSource;
  readonly clock: Clock;
  state(): FleetState;
  members(): readonly Member[];
  tell(event: FleetEvent): void;
  status(): EntryStatus;
}

interface Call {
  readonly body: unknown;
  readonly query: URLSearchParams;
  readonly args: readonly string[];
  readonly ctx: ChangeContext;
}

type Handler = (call: Call) => Promise<Result<unknown, Failure>>;

interface Route {
  readonly method: string;
  readonly path: RegExp;
  readonly handle: Handler;
}

/** Serves operators. */
export class OperatorApi {
  readonly #server: Server;
  readonly #routes: readonly Route[];

  constructor(private readonly parts: OperatorParts) {
    this.#routes = this.#buildRoutes();
    this.#server = createServer({
      requestTimeout: requestTimeoutMs,
      headersTimeout: requestTimeoutMs,
    }, (req, res) => this.#serve(req, res));
  }

  /** Listens on an address. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Stops listening. */
  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      if (!this.#isAuthorised(req)) {
        const { meaning } = codes.unauthorised;
        return replyFailure(res, {
          code: codes.unauthorised,
          message: meaning,
        });
      }
      const result = await this.#dispatch(req);
      if (result.err) return replyFailure(res, result.val);
      replyJson(res, codes.ok.http, result.val);
    } catch (err) {
      const message = describeError(err);
      replyFailure(res, { code: codes.internal, message });
    }
  }

  #isAuthorised(req: IncomingMessage): boolean {
    const given = digest(req.headers.authorization ?? "");
    return timingSafeEqual(given, digest(`Bearer ${this.parts.token}`));
  }

  async #dispatch(req: IncomingMessage): Promise<Result<unknown, Failure>> {
    const url = new URL(req.url ?? "/", "http://operator");
    for (const route of this.#routes) {
      const match = route.path.exec(url.pathname);
      if (match === null || route.method !== req.method) continue;
      const body = await readJson(req);
      if (body.err) return body;
      return await route.handle({
        body: body.val,
        query: url.searchParams,
        args: match.slice(1).map(decodeURIComponent),
        ctx: this.#context(req),
      });
    }
    return fail(codes.notFound, `no operation ${req.method} ${url.pathname}`);
  }

  #context(req: IncomingMessage): ChangeContext {
    const who = req.headers["briartide-operator"];
    const named = typeof who === "string" && /^[\w.@-]{1,64}$/.test(who);
    return {
      who: named ? who : "operator",
      at: this.parts.clock.wall(),
      operation: this.parts.ids.next(),
    };
  }

  #buildRoutes(): readonly Route[] {
    const { parts } = this;
    const { jobs } = parts;
    const get = (path: RegExp, handle: Handler) => {
      return { method: "GET", path, handle };
    };
    const post = (path: RegExp, handle: Handler) => {
      return { method: "POST", path, handle };
    };
    return [
      get(/^\/v1\/status$/, () => Promise.resolve(Ok(this.#status()))),
      get(/^\/v1\/table$/, () => this.#readTable()),
      post(/^\/v1\/table$/, (call) => this.#edit(call)),
      get(/^\/v1\/table\/force$/, (call) => this.#force(call)),
      get(/^\/v1\/hosts$/, () => Promise.resolve(Ok(this.#hosts()))),
      post(
        /^\/v1\/hosts\/([^/]+)\/drain$/,
        async ({ args, ctx }) =>
          this.#learn(await drainCommand(parts, args[0], ctx)),
      ),
      post(
        /^\/v1\/hosts\/([^/]+)\/return$/,
        async ({ args, ctx }) =>
          this.#learn(await returnCommand(parts, args[0], ctx)),
      ),
      post(/^\/v1\/hosts\/([^/]+)\/move$/, async ({ args, ctx, body }) => {
        const wish = parseBody(moveRequestSchema, body);
        if (wish.err) return wish;
        const { pool } = wish.val;
        return this.#learn(await moveCommand(parts, args[0], pool, ctx));
      }),
      get(
        /^\/v1\/waves$/,
        async () => (await readWaves(parts)).map((waves) => ({ waves })),
      ),
      post(/^\/v1\/waves$/, async ({ body, ctx }) => {
        const plan = parseBody(wavePlanSchema, body);
        if (plan.err) return plan;
        const wave = await planCommand(parts, plan.val, ctx);
        return wave.map((value) => ({ wave: value }));
      }),
      post(
        /^\/v1\/waves\/([^/]+)\/(start|approve|pause|resume|stop)$/,
        async ({ args, ctx }) => {
          const command = args[1] as WaveCommand;
          const wave = await waveCommand(parts, args[0], command, ctx);
          return wave.map((value) => ({ wave: value }));
        },
      ),
      post(
        /^\/v1\/entries\/([^/]+)\/forget$/,
        async ({ args, ctx }) =>
          (await forgetEntry(parts, args[0], ctx)).map((zones) => ({ zones })),
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
        async ({ args }) =>
          (await jobs.find(args[0])).map((job) => ({ job: job.value })),
      ),
      post(
        /^\/v1\/jobs\/([^/]+)\/cancel$/,
        async ({ args, ctx }) =>
          (await jobs.cancel(args[0], ctx)).map((job) => ({ job: job.value })),
      ),
      post(
        /^\/v1\/jobs\/([^/]+)\/resume$/,
        async ({ args, ctx }) =>
          (await jobs.resume(args[0], ctx)).map((job) => ({ job: job.value })),
      ),
      post(/^\/v1\/jobs\/([^/]+)\/settle$/, async ({ args, ctx, body }) => {
        const wish = parseBody(settleRequestSchema, body);
        if (wish.err) return wish;
        const job = await jobs.settle(args[0], wish.val.as, ctx);
        return job.map((value) => ({ job: value.value }));
      }),
      get(/^\/v1\/audit$/, async ({ query }) => {
        const limit = Number(query.get("limit") ?? defaultAuditRecords);
        const records = await readAudit(parts.platform.table, limit);
        return records.map((list) => ({ records: list }));
      }),
    ];
  }

  #status() {
    const { parts } = this;
    return {
      ...parts.status(),
      entry: parts.entry,
      zone: parts.zone,
      tableVersion: parts.state().table.version,
      entries: entryVersions(this.#view()),
    };
  }

  #view() {
    const { entry, zone } = this.parts;
    const state = this.parts.state();
    return { entry, zone, state, members: this.parts.members() };
  }

  #hosts() {
    const hosts = [...this.parts.state().hosts.values()];
    hosts.sort((a, b) => a.name.localeCompare(b.name));
    return { hosts };
  }

  async #readTable(): Promise<Result<unknown, Failure>> {
    const committed = await readTable(this.parts.platform.table);
    const table = committed.ok ? committed.val : this.parts.state().table;
    if (committed.err && table.version === 0) return committed;
    return Ok({ version: table.version, rows: [...table.rows.values()] });
  }

  async #edit({ body, ctx }: Call): Promise<Result<unknown, Failure>> {
    const edit = parseBody(editSchema, body);
    if (edit.err) return edit;
    const misnamed = misnamedChanges(edit.val);
    if (misnamed.length > 0) {
      return fail(codes.badCommand, `rows under wrong keys: ${misnamed}`);
    }
    const version = await commitEdit(this.parts.platform, edit.val, ctx);
    if (version.err) return version;
    const table = await readTable(this.parts.platform.table);
    if (table.ok) this.parts.tell({ kind: "table", table: table.val });
    return Ok({ version: version.val });
  }

  async #force({ query }: Call): Promise<Result<unknown, Failure>> {
    const version = Number(query.get("version") ?? 0);
    const waitMs = Math.min(maxWaitMs, Number(query.get("wait") ?? 0));
    const giveUpAt = this.parts.clock.now() + waitMs;
    for (;;) {
      const force = forceOf(this.#view(), version);
      const over = this.parts.clock.now() >= giveUpAt;
      if (force.pending.length === 0 || over) return Ok(force);
      await delay(this.parts.clock, forcePollMs);
    }
  }

  #learn(
    host: Awaited<ReturnType<typeof drainCommand>>,
  ): Result<unknown, Failure> {
    if (host.ok) this.parts.tell({ kind: "hosts", rows: [host.val] });
    return host.map((value) => ({ host: value }));
  }
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

async function readJson(
  req: IncomingMessage,
): Promise<Result<unknown, Failure>> {
  const bytes = await readBody(req, maxBodyBytes);
  if (bytes.err) return bytes;
  if (bytes.val.length === 0) return Ok(undefined);
  try {
    return Ok(JSON.parse(Buffer.from(bytes.val).toString("utf8")));
  } catch (err) {
    return fail(codes.badCommand, `body: ${describeError(err)}`);
  }
}

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
  return fail(codes.badCommand, "the body breaks the schema", { issues });
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
