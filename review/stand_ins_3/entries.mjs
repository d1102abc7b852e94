/** Starts entries of the project with the command of the deploy file. */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { sleep } from "./http.mjs";

const root = fileURLToPath(new URL("../../", import.meta.url));

/** A port that is free now on an address. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Whether `GET /-/ready` is answered with 200. */
async function isReady(address) {
  try {
    const { status } = await fetch(`http://${address}/-/ready`);
    return status === 200;
  } catch {
    return false;
  }
}

export class Entries {
  all = [];
  folder = mkdtempSync(join(tmpdir(), "briartide-review-"));

  constructor() {
    for (const signal of ["SIGINT", "SIGTERM"]) {
      process.once(signal, () => this.end().then(() => process.exit(2)));
    }
  }

  /** Starts an entry with settings as deploy/settings.toml.tmpl makes them. */
  async start({ id, zone, store, hosts }) {
    const host = "127.0.0.1";
    const [callers, ready, metrics] = [
      await freePort(host),
      await freePort(host),
      await freePort(host),
    ].map((port) => `${host}:${port}`);
    const file = join(this.folder, `${id}.toml`);
    writeFileSync(
      file,
      `[entry]
id = "${id}"
zone = "${zone}"
cores = 1
core_share = 0.675

[listen]
callers = "${callers}"
ready = "${ready}"
metrics = "${metrics}"

[store]
address = "${store}"

[hosts]
address = "${hosts}"

[placement]
advice = ""
`,
    );
    const entry = { id, file, callers, ready, child: undefined };
    this.all.push(entry);
    this.spawn(entry);
    return entry;
  }

  /** Starts the process of an entry, also after its end. */
  spawn(entry) {
    const args = [
      "--max-old-space-size=160",
      "--max-semi-space-size=8",
      "target/briartide.cjs",
      "batch",
    ];
    entry.child = spawn(process.execPath, args, {
      cwd: root,
      env: { PATH: process.env.PATH, BRIARTIDE_CONFIG: entry.file },
      stdio: ["ignore", "pipe", "inherit"],
    });
    entry.exited = new Promise((resolve) => entry.child.once("exit", resolve));
    const log = createWriteStream(join(this.folder, `${entry.id}.log`), {
      flags: "a",
    });
    entry.child.stdout.pipe(log);
  }

  /** Waits until all entries are ready; false if that takes too long. */
  async ready(timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs;
    while (performance.now() < until) {
      const states = await Promise.all(this.all.map((e) => isReady(e.ready)));
      if (states.every((state) => state)) return true;
      await sleep(100);
    }
    return false;
  }

  /** Ends all processes. */
  async end() {
    for (const { child } of this.all) child.kill("SIGKILL");
    await Promise.all(this.all.map(({ exited }) => exited));
    if (process.env.KEEP === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}
