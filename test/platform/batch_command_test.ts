/** Starts and ends of an entry's process. */
import assert from "node:assert/strict";
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";

const host = "127.0.0.1";

/** Time in which an entry starts, also beside load, in ms. */
const startMs = 10_000;

/** Time after which an entry gives up a port that stays taken, and more, in ms. */
const giveUpMs = 25_000;

const pollMs = 50;

/** Listens on a port of the loopback interface; 0 for any. */
function listen(port: number): Promise<Server> {
  const server = createServer((socket) => socket.destroy());
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => resolve(server));
  });
}

function portOf(server: Server): number {
  const address = server.address();
  return typeof address === "object" && address !== null ? address.port : 0;
}

/** Returns some ports that were free a moment ago. */
async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array(count).fill(0).map(listen));
  const ports = servers.map(portOf);
  for (const server of servers) server.close();
  return ports;
}

describe("the process of an entry", () => {
  let folder: string;
  let programFolder: string;
  let ports: { callers: number; ready: number; metrics: number };
  let child: ChildProcess | undefined;
  let output = "";

  before(() => {
    programFolder = mkdtempSync(join(tmpdir(), "briartide-"));
    const args = ["scripts/build_deploy.mjs", programFolder];
    execFileSync(process.execPath, args);
  });

  after(() => rmSync(programFolder, { recursive: true }));

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), "briartide-"));
    const [callers, ready, metrics] = await freePorts(3);
    ports = { callers, ready, metrics };
    output = "";
  });

  afterEach(() => {
    child?.kill("SIGKILL");
    rmSync(folder, { recursive: true });
  });

  /** Starts an entry whose store can't be reached. */
  function start(): ChildProcess {
    const file = join(folder, "settings.toml");
    const nobody = `${host}:9`;
    writeFileSync(
      file,
      `
      entry = { id = "e", zone = "z" }
      store = { address = "${nobody}" }
      hosts = { address = "${nobody}" }
      placement = {}
      [listen]
      callers = "${host}:${ports.callers}"
      ready = "${host}:${ports.ready}"
      metrics = "${host}:${ports.metrics}"
      `,
    );
    const program = join(programFolder, "briartide.cjs");
    const args = [program, "batch", "--settings", file];
    child = spawn(process.execPath, args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on("data", (chunk) => output += chunk);
    }
    return child;
  }

  async function until(test: () => boolean, ms: number): Promise<void> {
    const deadline = Date.now() + ms;
    while (!test() && Date.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, pollMs));
    }
    assert.ok(test(), output);
  }

  const isLogged = (event: string) => () => output.includes(`"msg":"${event}"`);
  const hasEnded = (entry: ChildProcess) => () =>
    entry.exitCode !== null || entry.signalCode !== null;

  // Guards against Fault: an entry that found a port taken when it started
  // neither served nor ended.
  for (const name of ["callers", "ready"] as const) {
    it(`waits for its port for ${name}`, async () => {
      const other = await listen(ports[name]);
      const entry = start();
      await until(isLogged("port-taken"), startMs);
      other.close();
      await until(isLogged("started"), startMs);
      assert.equal(entry.exitCode, null);
    });
  }

  it("ends if a port stays taken", async () => {
    const other = await listen(ports.ready);
    const entry = start();
    await until(hasEnded(entry), giveUpMs);
    other.close();
    assert.equal(entry.exitCode, 1, output);
    assert.ok(isLogged("not-started")(), output);
  });

  it("serves without its port for metrics", async () => {
    const other = await listen(ports.metrics);
    start();
    await until(isLogged("started"), startMs);
    other.close();
    await until(isLogged("port-opened"), startMs);
  });

  // Guards against LOST: a second signal ended the process at once, with the
  // requests that it was serving.
  it("is ended by a second signal no sooner than by the first", async () => {
    const entry = start();
    await until(isLogged("started"), startMs);
    entry.kill("SIGTERM");
    await until(isLogged("stopping"), startMs);
    entry.kill("SIGTERM");
    entry.kill("SIGINT");
    await until(hasEnded(entry), startMs);
    assert.equal(entry.exitCode, 0, output);
    assert.ok(isLogged("stopped")(), output);
  });
});
