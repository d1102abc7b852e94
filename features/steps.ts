/**
 * Cucumber steps of the recorded sessions. Steps append what operators and
 * callers see to the session's text, which is compared with a golden file.
 */
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
import { deployments, listWorkers } from "../fakes/deployment.ts";
import { countViolations, findViolations } from "../fakes/violations.ts";
import { operatorToken, Stack } from "../fakes/stack.ts";
import { jobsReplySchema, wavesReplySchema } from "../src/operator/index.ts";

const stepTimeoutMs = 60_000;
const waitTimeoutMs = 40_000;

/** Text and resources of the current scenario. */
interface Session {
  name: string;
  text: string;
  stack?: Stack;
  callers?: Callers;
}

let session: Session = { name: "", text: "" };
setDefaultTimeout(stepTimeoutMs);

/** Returns the scenario's stack; fails if none was started. */
function requireStack(): Stack {
  assert.ok(session.stack);
  return session.stack;
}

/** Returns the scenario's callers; fails if no stack was started. */
function requireCallers(): Callers {
  assert.ok(session.callers);
  return session.callers;
}

/** Appends a line to the session's text. */
function appendLine(line: string): void {
  session.text += `${line}\n`;
}

/** Masks the text that differs between runs, such as times and addresses. */
function maskVaryingText(text: string): string {
  return text
    .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, "TIME")
    .replace(/row version \d+/g, "row version N")
    .replace(/127\.0\.0\.1:\d+/g, "ADDRESS")
    // Any entry can acquire the controller's lease.
    .replace(/TIME {2}entry-\d+ /g, "TIME  CONTROLLER ")
    .replace(/, controller$/gm, "")
    .replace(/\d+ hosts owned/g, "N hosts owned")
    .replace(/ +$/gm, "");
}

/** Output and exit code of a command. */
interface CommandOutput {
  readonly text: string;
  readonly code: number;
}

/** Runs the command line as the operator `who`. */
function runCommand(who: string, line: string): Promise<CommandOutput> {
  const args = ["dist/briartide.cjs", ...line.split(" "), "--as", who];
  const env = {
    ...process.env,
    BRIARTIDE_ENTRY: requireStack().entries[0].operator,
    BRIARTIDE_TOKEN: operatorToken,
  };
  return new Promise((resolve) => {
    execFile(process.execPath, args, { env }, (err, stdout, stderr) => {
      const code = typeof err?.code === "number" ? err.code : 0;
      resolve({ text: maskVaryingText(stdout + stderr).trimEnd(), code });
    });
  });
}

/** Formats the number of results per code, in ascending order of the codes. */
function formatCodeCounts(codes: readonly number[]): string {
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
  async (pool: string, healthyHost: string) => {
    const stack = requireStack();
    const hosts = listWorkers(stack.deployment)
      .filter((h) => h.pool === pool && h.name !== healthyHost);
    await Promise.all(
      hosts.map((h) =>
        stack.callControl(stack.endpoints[h.name], "mode", { failReboot: true })
      ),
    );
  },
);

When("{word} runs {string}", async (who: string, line: string) => {
  const { text, code } = await runCommand(who, line);
  appendLine(`${who}$ briartide ${line}\n${text}\nexit ${code}\n`);
});

When(
  "{word} runs {string} and keeps lines with {string}",
  async (who: string, line: string, substring: string) => {
    const { text, code } = await runCommand(who, line);
    const matching = text.split("\n").filter((l) => l.includes(substring)).join(
      "\n",
    );
    appendLine(
      `${who}$ briartide ${line} | ${substring}\n${matching}\nexit ${code}\n`,
    );
  },
);

When(
  "{word} runs {string} and counts lines with {string}",
  async (who: string, line: string, substring: string) => {
    const { text, code } = await runCommand(who, line);
    const count = text.split("\n").filter((l) => l.includes(substring)).length;
    appendLine(`${who}$ briartide ${line} | ${substring}\n${count} lines`);
    appendLine(`exit ${code}\n`);
  },
);

When("{word} waits {int} ms", async (_who: string, ms: number) => {
  await new Promise((resolve) => setTimeout(resolve, ms));
});

When(
  "callers send {int} {string} requests",
  async (count: number, name: string) => {
    const callers = requireCallers();
    const results = await Promise.all(
      Array.from(
        { length: count },
        () => callers.send({ class: name, path: "/?ms=20" }),
      ),
    );
    const ownAnswers = results.filter((r) => r.isOwnAnswer).length;
    const prices = [...new Set(results.map((r) => r.price ?? "none"))].join(
      " ",
    );
    appendLine(`callers send ${count} ${name}`);
    appendLine(
      `${
        formatCodeCounts(results.map((r) => r.code))
      }; own answers ${ownAnswers}; price ${prices}\n`,
    );
  },
);

When(
  "callers of {string} send {int} {string} requests",
  async (entry: string, count: number, name: string) => {
    const callers = requireCallers();
    const index = requireStack().entries.findIndex((e) => e.id === entry);
    const results = await Promise.all(
      Array.from(
        { length: count },
        () => callers.send({ class: name, path: "/?ms=20", entry: index }),
      ),
    );
    appendLine(`callers of ${entry} send ${count} ${name}`);
    appendLine(`${formatCodeCounts(results.map((r) => r.code))}\n`);
  },
);

When(
  "callers send {int} {string} requests of {int} ms while {string} is stopped",
  async (count: number, name: string, ms: number, entry: string) => {
    const stack = requireStack();
    const callers = requireCallers();
    const open = Array.from(
      { length: count },
      () => callers.send({ class: name, path: `/?ms=${ms}` }),
    );
    await new Promise((resolve) => setTimeout(resolve, ms / 3));
    stack.signal(entry, "SIGTERM");
    callers.remove(stack.entries.findIndex((e) => e.id === entry));
    const results = await Promise.all(open);
    appendLine(`callers send ${count} ${name} while ${entry} is stopped`);
    appendLine(formatCodeCounts(results.map((r) => r.code)));
    appendLine(`${entry} exits with ${await stack.waitForExit(entry)}\n`);
  },
);

/** Submits rent runs as jobs and appends the number of results per code. */
async function submitRent(count: number, ms: number, label: string) {
  const results = await Promise.all(
    Array.from({ length: count }, (_, i) =>
      requireCallers().send({
        class: "rent-run",
        path: `/?ms=${ms}`,
        headers: {
          "idempotency-key": `${label}-${i}`,
          prefer: "respond-async",
        },
      })),
  );
  appendLine(`callers submit ${count} rent runs`);
  appendLine(`${formatCodeCounts(results.map((r) => r.code))}\n`);
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
  await requireStack().callControl(requireStack().platform, "faults", {
    down: true,
  });
  appendLine("the platform goes down\n");
});

When("the platform comes back", async () => {
  await requireStack().callControl(requireStack().platform, "faults", {
    down: false,
  });
  appendLine("the platform comes back\n");
});

When(
  "the link between {string} and {string} goes silent",
  (a: string, b: string) => {
    requireStack().setLinkMode("silent", (x, y) => x.id === a && y.id === b);
    appendLine(`the link between ${a} and ${b} goes silent\n`);
  },
);

Then(
  "{string} ran none of the last {int} requests",
  async (host: string, count: number) => {
    const requestIds = new Set(
      requireCallers().results.slice(-count).map((r) => r.id),
    );
    const record = (await requireStack().readRecords()).find((r) =>
      r.name === host
    );
    assert.equal(requestIds.size, count);
    assert.equal(record?.runs.filter((r) => requestIds.has(r.mark)).length, 0);
  },
);

When("the process of {string} is killed", async (entry: string) => {
  const stack = requireStack();
  stack.signal(entry, "SIGKILL");
  await stack.waitForExit(entry);
  requireCallers().remove(stack.entries.findIndex((e) => e.id === entry));
  const change = { name: entry, state: "gone" };
  await stack.callControl(stack.platform, "hosts", change);
  appendLine(`${entry} is killed\n`);
});

When("the zone {string} is cut off", async (zone: string) => {
  await requireStack().setZoneCut(zone, true);
  appendLine(`${zone} is cut off\n`);
});

When("the zone {string} is healed", async (zone: string) => {
  await requireStack().setZoneCut(zone, false);
  appendLine(`${zone} is healed\n`);
});

When(
  "the wave {string} becomes {string}",
  async (id: string, state: string) => {
    await requireStack().waitFor(async () => {
      const reply = await requireStack().operator().get(
        "/v1/waves",
        wavesReplySchema,
      );
      return reply.ok &&
        reply.val.waves.some((w) => w.id === id && w.state === state);
    }, waitTimeoutMs);
    appendLine(`wave ${id} becomes ${state}\n`);
  },
);

When("every job is at rest", async () => {
  const open = ["claimed", "started"];
  await requireStack().waitFor(async () => {
    const reply = await requireStack().operator().get(
      "/v1/jobs",
      jobsReplySchema,
    );
    return reply.ok && !reply.val.jobs.some((j) => open.includes(j.state));
  }, waitTimeoutMs);
});

Then("no rent run happened twice", async () => {
  const records = await requireStack().readRecords();
  const violations = findViolations(requireCallers().results, records, [
    "rent-run",
  ]);
  assert.equal(countViolations(violations), 0, JSON.stringify(violations));
});

Then("the session equals its golden file", () => {
  const file = `features/golden/${session.name}.txt`;
  if (process.env.UPDATE_GOLDEN === "1" || !existsSync(file)) {
    assert.notEqual(process.env.CI, "true", `${file} is missing`);
    writeFileSync(file, session.text);
  }
  assert.equal(session.text, readFileSync(file, "utf8"));
});
