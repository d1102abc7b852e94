/**
 * Serves the fake platform over HTTP, with a control interface.
 *
 * Control interface: `GET /control/faults` returns the simulated faults and
 * `POST /control/faults` changes any fields of `PlatformFaults`;
 * `POST /control/hosts` with `{name, state}` changes the state of a listed
 * host; `GET /control/rows?prefix=` returns the rows with a key prefix.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { request } from "undici";
import type {
  PlatformListedHost,
  PlatformTransaction,
  ReadQuery,
} from "../src/platform/index.ts";
import { listen, readRequestBody, sendJson } from "./json_http.ts";
import { MemoryPlatform, type PlatformFaults } from "./memory_platform.ts";

const badRequest = 400;
const notFound = 404;
const unavailable = 503;

/** A running fake platform. */
export interface PlatformServer {
  readonly address: string;
  readonly platform: MemoryPlatform;
  /** Closes the server and all its connections. */
  close(): void;
}

/** Body of `POST /control/hosts`. */
interface HostChange {
  readonly name: string;
  readonly state: PlatformListedHost["state"];
}

/** Options of the fake platform. */
export interface PlatformServerOptions {
  readonly hosts: readonly PlatformListedHost[];
  /** Delay in ms until the list shows the change of a host's state. */
  readonly listLagMs: number;
  /** Port to listen on; a free one by default. */
  readonly port?: number;
}

/** Starts the fake platform on a loopback port. */
export async function startPlatform(
  options: PlatformServerOptions,
): Promise<PlatformServer> {
  const platform = new MemoryPlatform();
  for (const host of options.hosts) platform.hosts.set(host.name, host);
  platform.onReboot = (name) => {
    const host = platform.hosts.get(name);
    if (host === undefined) return;
    request(`${host.address}/control/reboot`, { method: "POST" })
      .then((res) => res.body.dump())
      .catch(() => {});
  };
  const server = createServer((req, res) => {
    serve(platform, options, req, res).catch(() => res.destroy());
  });
  const address = await listen(server, options.port);
  return {
    address,
    platform,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

async function serve(
  platform: MemoryPlatform,
  options: PlatformServerOptions,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const url = new URL(req.url ?? "/", "http://platform");
  const body = await readRequestBody(req);
  if (url.pathname.startsWith("/control/")) {
    return handleControl(platform, options, url, body, res);
  }
  const { faults } = platform;
  if (faults.slowMs > 0) {
    await new Promise((resolve) => setTimeout(resolve, faults.slowMs));
  }
  const zone = String(req.headers["platform-zone"] ?? "");
  if (faults.down || faults.cutZones.includes(zone)) {
    return sendJson(res, unavailable, { message: "down" });
  }
  await handleService(platform, req.method ?? "", url.pathname, body, res);
}

/** Handles a call of the platform's API. */
async function handleService(
  platform: MemoryPlatform,
  method: string,
  path: string,
  body: Uint8Array,
  res: ServerResponse,
): Promise<void> {
  const text = () => new TextDecoder().decode(body);
  if (path === "/v1/table/read") {
    const rows = platform.read(JSON.parse(text()) as ReadQuery);
    return sendJson(res, 200, { rows: rows.unwrap() });
  }
  if (path === "/v1/table/commit") return handleCommit(platform, text(), res);
  if (path === "/v1/hosts") {
    return sendJson(res, 200, { hosts: [...platform.hosts.values()] });
  }
  if (path === "/v1/tasks") {
    const { host, operation } = JSON.parse(text());
    await platform.reboot(host, operation);
    return sendJson(res, 200, {});
  }
  if (path.startsWith("/v1/objects/")) {
    const name = decodeURIComponent(path.slice("/v1/objects/".length));
    if (method === "PUT") {
      await platform.objects.put(name, new Uint8Array(body));
      return sendJson(res, 200, {});
    }
    const found = await platform.objects.get(name);
    if (found.err) return sendJson(res, notFound, {});
    res.writeHead(200, { "content-length": found.val.length });
    res.end(found.val);
    return;
  }
  sendJson(res, notFound, {});
}

/** Commits transactions; breaks the connection if the answer is to be lost. */
function handleCommit(
  platform: MemoryPlatform,
  text: string,
  res: ServerResponse,
): void {
  const { transactions } = JSON.parse(text) as {
    transactions?: PlatformTransaction[];
  };
  if (!Array.isArray(transactions)) return sendJson(res, badRequest, {});
  const outcomes = transactions.map((tx) => platform.apply(tx));
  if (platform.faults.loseAnswers > 0) {
    platform.faults.loseAnswers--;
    res.destroy();
    return;
  }
  sendJson(res, 200, { outcomes });
}

/** Handles a call of the control interface. */
function handleControl(
  platform: MemoryPlatform,
  options: PlatformServerOptions,
  url: URL,
  body: Uint8Array,
  res: ServerResponse,
): void {
  const text = new TextDecoder().decode(body);
  if (url.pathname === "/control/faults") {
    if (text !== "") {
      const change = JSON.parse(text) as Partial<PlatformFaults>;
      platform.faults = { ...platform.faults, ...change };
    }
    return sendJson(res, 200, platform.faults);
  }
  if (url.pathname === "/control/hosts") {
    const change = JSON.parse(text) as HostChange;
    setTimeout(() => {
      const host = platform.hosts.get(change.name);
      if (host === undefined) return;
      platform.hosts.set(host.name, { ...host, state: change.state });
    }, options.listLagMs);
    return sendJson(res, 200, { lagMs: options.listLagMs });
  }
  if (url.pathname === "/control/rows") {
    const prefix = url.searchParams.get("prefix") ?? "";
    const rows = [...platform.rows.values()]
      .filter((row) => row.key.startsWith(prefix));
    return sendJson(res, 200, { rows });
  }
  sendJson(res, notFound, {});
}
