/**
 * Fake endpoint of a worker host. It simulates run times and faults, and
 * records each run for the checks of the tests.
 *
 * The query of a request's path controls its run: `ms` is the run time in ms,
 * `size` the number of padding bytes of the answer, `status` its HTTP status.
 *
 * Control interface: `POST /control/mode` changes any fields of
 * `EndpointFaults`, `GET /control/runs` returns the record of runs, and
 * `POST /control/reboot` simulates a reboot.
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { listen, readRequestBody, sendJson } from "./json_http.ts";

/** Simulated faults of an endpoint. */
export interface EndpointFaults {
  /** Each run fails immediately. */
  blackHole: boolean;
  /** Requests are accepted but not answered. */
  silent: boolean;
  /** Answers carry the id of another request. */
  crossed: boolean;
  /** The connection breaks in the middle of each answer. */
  truncate: boolean;
  /** The connection breaks after the run, before the answer. */
  dropAnswer: boolean;
  /** Health checks report the endpoint as unhealthy. */
  unhealthy: boolean;
  /** The endpoint is unhealthy after a reboot. */
  failReboot: boolean;
  /** Factor by which run times are multiplied. */
  slowdown: number;
  /** Probability with which a run fails, from 0 to 1. */
  failShare: number;
}

/** One run as the endpoint recorded it. */
export interface RunRecord {
  readonly attempt: string;
  readonly class: string;
  readonly pool: string;
  readonly key: string;
  readonly price: string;
  readonly tableVersion: number;
  /** Start of the request's body, which identifies the request. */
  readonly mark: string;
  /** Start in ms since the Unix epoch. */
  readonly startedAt: number;
  /** End in ms since the Unix epoch; 0 while the run goes on. */
  endedAt: number;
  status: number;
  body: string;
}

/** A running fake endpoint. */
export interface EndpointServer {
  readonly name: string;
  readonly address: string;
  readonly runs: RunRecord[];
  /** Largest number of simultaneous runs. */
  maxRunning: number;
  close(): void;
}

const rebootMs = 400;
/** Number of characters of the body that are recorded. */
const maxMarkChars = 200;
const defaultFaults: EndpointFaults = {
  blackHole: false,
  silent: false,
  crossed: false,
  truncate: false,
  dropAnswer: false,
  unhealthy: false,
  failReboot: false,
  slowdown: 1,
  failShare: 0,
};

/** State and request handlers of one endpoint. */
class FakeEndpoint {
  readonly runs: RunRecord[] = [];
  faults = { ...defaultFaults };
  running = 0;
  maxRunning = 0;
  maxConnections = 0;
  boots = 1;
  down = false;
  server: Server | undefined;

  constructor(readonly name: string, readonly random: () => number) {}

  async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? "/", "http://endpoint");
    if (url.pathname.startsWith("/control/")) {
      const text = (await readRequestBody(req)).toString("utf8");
      return this.#handleControl(url, text, res);
    }
    if (this.down) {
      res.destroy();
      return;
    }
    if (url.pathname === "/briartide/health") return this.#sendHealth(res);
    if (url.pathname === "/briartide/runs") return this.#sendRunState(url, res);
    const body = await readRequestBody(req);
    await this.#run(req, url, body, res);
  }

  #sendHealth(res: ServerResponse): void {
    sendJson(res, 200, {
      ok: !this.faults.unhealthy,
      boot: `${this.name}-${this.boots}`,
      running: this.running,
    });
  }

  #sendRunState(url: URL, res: ServerResponse): void {
    const { searchParams: query } = url;
    const run = this.runs.findLast((r) =>
      query.has("attempt")
        ? r.attempt === query.get("attempt")
        : r.class === query.get("class") && r.key === query.get("key")
    );
    if (run === undefined) return sendJson(res, 200, { state: "unknown" });
    if (run.endedAt === 0) return sendJson(res, 200, { state: "running" });
    sendJson(res, 200, {
      state: "done",
      status: run.status,
      body: Buffer.from(run.body).toString("base64"),
      contentType: "application/json",
    });
  }

  async #run(
    req: IncomingMessage,
    url: URL,
    body: Buffer,
    res: ServerResponse,
  ): Promise<void> {
    const header = (name: string) => String(req.headers[name] ?? "");
    const { faults } = this;
    const run: RunRecord = {
      attempt: header("briartide-request-id"),
      class: header("briartide-class"),
      pool: header("briartide-pool"),
      key: header("idempotency-key"),
      price: header("briartide-price"),
      tableVersion: Number(header("briartide-table-version")),
      mark: body.toString("utf8").slice(0, maxMarkChars),
      startedAt: Date.now(),
      endedAt: 0,
      status: 0,
      body: "",
    };
    this.runs.push(run);
    this.running++;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    const fails = faults.blackHole || this.random() < faults.failShare;
    const ms = fails ? 0 : Number(url.searchParams.get("ms") ?? 0);
    if (ms > 0) await sleep(ms * faults.slowdown);
    while (this.faults.silent) await sleep(50);
    this.running--;
    run.endedAt = Date.now();
    run.status = fails ? 500 : Number(url.searchParams.get("status") ?? 200);
    run.body = JSON.stringify({
      host: this.name,
      attempt: run.attempt,
      price: run.price,
      tableVersion: run.tableVersion,
      received: run.mark,
      padding: "x".repeat(Number(url.searchParams.get("size") ?? 0)),
    });
    this.#sendAnswer(run, res);
  }

  #sendAnswer(run: RunRecord, res: ServerResponse): void {
    if (this.faults.dropAnswer || this.down) {
      res.destroy();
      return;
    }
    const bytes = Buffer.from(run.body);
    res.writeHead(run.status, {
      "content-type": "application/json",
      "content-length": bytes.length,
      "briartide-request-id": this.faults.crossed ? "other" : run.attempt,
    });
    if (!this.faults.truncate) {
      res.end(bytes);
      return;
    }
    res.write(bytes.subarray(0, bytes.length / 2), () => res.destroy());
  }

  #handleControl(url: URL, text: string, res: ServerResponse): void {
    if (url.pathname === "/control/mode") {
      if (text !== "") this.faults = { ...this.faults, ...JSON.parse(text) };
      return sendJson(res, 200, this.faults);
    }
    if (url.pathname === "/control/runs") {
      return sendJson(res, 200, {
        name: this.name,
        running: this.running,
        maxRunning: this.maxRunning,
        maxConnections: this.maxConnections,
        boots: this.boots,
        runs: this.runs,
      });
    }
    if (url.pathname === "/control/reboot") {
      this.down = true;
      setTimeout(() => {
        this.boots++;
        this.down = false;
        if (this.faults.failReboot) this.faults.unhealthy = true;
      }, rebootMs);
      return sendJson(res, 200, {});
    }
    sendJson(res, 404, {});
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Starts a fake endpoint on a free loopback port. */
export async function startEndpoint(
  name: string,
  random: () => number,
): Promise<EndpointServer> {
  const endpoint = new FakeEndpoint(name, random);
  const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
    endpoint.serve(req, res).catch(() => res.destroy());
  });
  let connections = 0;
  server.on("connection", (socket) => {
    connections++;
    endpoint.maxConnections = Math.max(endpoint.maxConnections, connections);
    socket.on("close", () => connections--);
  });
  const address = await listen(server);
  return {
    name,
    address: `http://${address}`,
    runs: endpoint.runs,
    get maxRunning() {
      return endpoint.maxRunning;
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
