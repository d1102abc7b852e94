/** Steps of the sessions; each session is compared with its golden file. */
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import {
  After,
  Before,
  Given,
  setDefaultTimeout,
  Then,
  When,
} from "@cucumber/cucumber";
import { Callers } from "../fakes/caller.ts";
import { deploymentHosts, deployments } from "../fakes/deployment.ts";
import { countFindings, judge } from "../fakes/evidence.ts";
import { operatorToken, Stack } from "../fakes/stack.ts";
import { jobsReplySchema, wavesReplySchema } from "../src/operator/index.ts";

const stepLimitMs = 60_000;
const waitLimitMs = 40_000;

/** The session of one scenario. */
interface Session {
  name: string;
  text: string;
  stack?: Stack;
  callers?: Callers;
}

let session: Session = { name: "", text: "" };
setDefaultTimeout(stepLimitMs);

function stackOf(): Stack {
  assert.ok(session.stack);
  return session.stack;
}

function callersOf(): Callers {
  assert.ok(session.callers);
  return session.callers;
}

function write(line: string): void {
  session.text += `${line}\n`;
}

function normalise(text: string): string {
  return text
    .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, "TIME")
    .replace(/row version \d+/g, "row version N")
    .replace(/127\.0\.0\.1:\d+/g, "ADDRESS")
    // Which entry wins the controller's lease is open.
    .replace(/TIME {2}entry-\d+ /g, "TIME  CONTROLLER ")
    .replace(/, controller$/gm, "")
    .replace(/\d+ hosts owned/g, "N hosts owned")
    .replace(/ +$/gm, "");
}

interface Output {
  readonly text: string;
  readonly code: number;
}

function runCommand(who: string, line: string): Promise<Output> {
  const args = ["dist/briartide.cjs", ...line.split(" "), "--as", who];
  const env = {
    ...process.env,
    BRIARTIDE_ENTRY: stackOf().entries[0].operator,
    BRIARTIDE_TOKEN: operatorToken,
  };
  return new Promise((resolve) => {
    execFile(process.execPath, args, { env }, (err, stdout, stderr) => {
      const code = typeof err?.code === "number" ? err.code : 0;
      resolve({ text: normalise(stdout + stderr).trimEnd(), code });
    });
  });
}

/** Counts the ends by code, in the order of the codes. */
function summary(codes: readonly number[]): string {
  const counts = new Map<number, number>();
  for (const code of codes) counts.set(code, (counts.get(code) ?? 0) + 1);
  return [...counts].sort(([a], [b]) => a - b)
    .map(([code, n]) => `${n} x ${code}`).join(", ");
}

Before(({ pickle }) => {
  session = { name: pickle.name, text: "" };
});

After(async () => {
  await session.callers?.close();
  await session.stack?.stop();
});

Given("the {word} stack", async (name: string) => {
  const stack = await Stack.start(deployments[name], { moves: false });
  session.stack = stack;
  session.callers = new Callers(stack.entries.map((e) => e.caller));
});

Given(
  "every host of {string} but {string} fails its reboot",
  async (pool: string, sound: string) => {
    const stack = stackOf();
    const hosts = deploymentHosts(stack.deployment)
      .filter((h) => h.pool === pool && h.name !== sound);
    await Promise.all(
      hosts.map((h) =>
        stack.control(stack.endpoints[h.name], "mode", { failReboot: true })
      ),
    );
  },
);

When("{word} runs {string}", async (who: string, line: string) => {
  const { text, code } = await runCommand(who, line);
  write(`${who}$ briartide ${line}\n${text}\nexit ${code}\n`);
});

When(
  "{word} runs {string} and keeps lines with {string}",
  async (who: string, line: string, part: string) => {
    const { text, code } = await runCommand(who, line);
    const kept = text.split("\n").filter((l) => l.includes(part)).join("\n");
    write(`${who}$ briartide ${line} | ${part}\n${kept}\nexit ${code}\n`);
  },
);

When(
  "{word} runs {string} and counts lines with {string}",
  async (who: string, line: string, part: string) => {
    const { text, code } = await runCommand(who, line);
    const count = text.split("\n").filter((l) => l.includes(part)).length;
    write(`${who}$ briartide ${line} | ${part}\n${count} lines`);
    write(`exit ${code}\n`);
  },
);

When("{word} waits {int} ms", async (_who: string, ms: number) => {
  await new Promise((resolve) => setTimeout(resolve, ms));
});

When(
  "callers send {int} {string} requests",
  async (count: number, name: string) => {
    const callers = callersOf();
    const ends = await Promise.all(
      Array.from(
        { length: count },
        () => callers.send({ class: name, path: "/?ms=20" }),
      ),
    );
    const own = ends.filter((e) => e.own).length;
    const prices = [...new Set(ends.map((e) => e.price ?? "none"))].join(" ");
    write(`callers send ${count} ${name}`);
    write(
      `${
        summary(ends.map((e) => e.code))
      }; own answers ${own}; price ${prices}\n`,
    );
  },
);

When(
  "callers of {string} send {int} {string} requests",
  async (entry: string, count: number, name: string) => {
    const callers = callersOf();
    const index = stackOf().entries.findIndex((e) => e.id === entry);
    const ends = await Promise.all(
      Array.from(
        { length: count },
        () => callers.send({ class: name, path: "/?ms=20", entry: index }),
      ),
    );
    write(`callers of ${entry} send ${count} ${name}`);
    write(`${summary(ends.map((e) => e.code))}\n`);
  },
);

When(
  "callers send {int} {string} requests of {int} ms while {string} is stopped",
  async (count: number, name: string, ms: number, entry: string) => {
    const stack = stackOf();
    const callers = callersOf();
    const open = Array.from(
      { length: count },
      () => callers.send({ class: name, path: `/?ms=${ms}` }),
    );
    await new Promise((resolve) => setTimeout(resolve, ms / 3));
    stack.signal(entry, "SIGTERM");
    callers.remove(stack.entries.findIndex((e) => e.id === entry));
    const ends = await Promise.all(open);
    write(`callers send ${count} ${name} while ${entry} is stopped`);
    write(summary(ends.map((e) => e.code)));
    write(`${entry} exits with ${await stack.ended(entry)}\n`);
  },
);

async function submitRent(count: number, ms: number, label: string) {
  const ends = await Promise.all(
    Array.from({ length: count }, (_, i) =>
      callersOf().send({
        class: "rent-run",
        path: `/?ms=${ms}`,
        headers: {
          "idempotency-key": `${label}-${i}`,
          prefer: "respond-async",
        },
      })),
  );
  write(`callers submit ${count} rent runs`);
  write(`${summary(ends.map((e) => e.code))}\n`);
}

When(
  "callers submit {int} rent runs of {int} ms",
  (count: number, ms: number) => submitRent(count, ms, "rent"),
);

When(
  "callers send {int} rent run during the outage",
  (count: number) => submitRent(count, 10, "outage"),
);

When("the platform goes down", async () => {
  await stackOf().control(stackOf().platform, "faults", { down: true });
  write("the platform goes down\n");
});

When("the platform comes back", async () => {
  await stackOf().control(stackOf().platform, "faults", { down: false });
  write("the platform comes back\n");
});

When(
  "the link between {string} and {string} goes silent",
  (a: string, b: string) => {
    stackOf().cutLinks("silent", (x, y) => x.id === a && y.id === b);
    write(`the link between ${a} and ${b} goes silent\n`);
  },
);

Then(
  "{string} ran none of the last {int} requests",
  async (host: string, count: number) => {
    const marks = new Set(callersOf().ends.slice(-count).map((e) => e.id));
    const record = (await stackOf().records()).find((r) => r.name === host);
    assert.equal(marks.size, count);
    assert.equal(record?.runs.filter((r) => marks.has(r.mark)).length, 0);
  },
);

When("the process of {string} is killed", async (entry: string) => {
  const stack = stackOf();
  stack.signal(entry, "SIGKILL");
  await stack.ended(entry);
  callersOf().remove(stack.entries.findIndex((e) => e.id === entry));
  const change = { name: entry, state: "gone" };
  await stack.control(stack.platform, "hosts", change);
  write(`${entry} is killed\n`);
});

When("the zone {string} is cut off", async (zone: string) => {
  await stackOf().cutZone(zone, true);
  write(`${zone} is cut off\n`);
});

When("the zone {string} is healed", async (zone: string) => {
  await stackOf().cutZone(zone, false);
  write(`${zone} is healed\n`);
});

When(
  "the wave {string} becomes {string}",
  async (id: string, state: string) => {
    await stackOf().waitFor(async () => {
      const reply = await stackOf().operator().get(
        "/v1/waves",
        wavesReplySchema,
      );
      return reply.ok &&
        reply.val.waves.some((w) => w.id === id && w.state === state);
    }, waitLimitMs);
    write(`wave ${id} becomes ${state}\n`);
  },
);

When("every job is at rest", async () => {
  const open = ["claimed", "started"];
  await stackOf().waitFor(async () => {
    const reply = await stackOf().operator().get("/v1/jobs", jobsReplySchema);
    return reply.ok && !reply.val.jobs.some((j) => open.includes(j.state));
  }, waitLimitMs);
});

Then("no rent run happened twice", async () => {
  const records = await stackOf().records();
  const findings = judge(callersOf().ends, records, ["rent-run"]);
  assert.equal(countFindings(findings), 0, JSON.stringify(findings));
});

Then("the session equals its golden file", () => {
  const file = `features/golden/${session.name}.txt`;
  if (process.env.UPDATE_GOLDEN === "1" || !existsSync(file)) {
    assert.notEqual(process.env.CI, "true", `${file} is missing`);
    writeFileSync(file, session.text);
  }
  assert.equal(session.text, readFileSync(file, "utf8"));
});
