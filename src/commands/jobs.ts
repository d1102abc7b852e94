/** Commands `jobs`, `status` and `audit`. */
import type { Result } from "ts-results";
import type * as v from "valibot";
import { codes, fail, type Failure } from "../errors/index.ts";
import {
  auditReplySchema,
  jobReplySchema,
  jobsReplySchema,
  type OperatorClient,
  statusReplySchema,
} from "../operator/index.ts";
import {
  type ClientAction,
  type ClientOptionValues,
  type Command,
  defineClientCommand,
  print,
  printTable,
} from "./command.ts";

/** Options of all commands in this module. */
const jobOptions = {
  state: { type: "string" },
  limit: { type: "string", default: "100" },
} as const;

/** Values of `jobOptions` and of the client options. */
interface OptionValues extends ClientOptionValues {
  readonly state?: string;
  readonly limit?: string;
}

type JobAction = ClientAction<OptionValues>;

type JobRecord = v.InferOutput<typeof jobReplySchema>["job"];

const jobsAction: JobAction = async (client, [action, id, outcome], values) => {
  if (action === "list") return await listJobs(client, values);
  if (id === undefined) return fail(codes.badCommand, "missing job id");
  const path = `/v1/jobs/${encodeURIComponent(id)}`;
  switch (action) {
    case "show":
      return (await client.get(path, jobReplySchema))
        .map(({ job }) => printJob(job, values));
    case "cancel":
    case "resume":
      return (await client.post(`${path}/${action}`, jobReplySchema))
        .map(({ job }) => printJob(job, values));
    case "settle":
      return (await client.post(`${path}/settle`, jobReplySchema, {
        as: outcome,
      }))
        .map(({ job }) => printJob(job, values));
    default:
      return fail(codes.badCommand, `unknown action ${action ?? ""}`);
  }
};

async function listJobs(
  client: OperatorClient,
  values: OptionValues,
): Promise<Result<void, Failure>> {
  const reply = await client.get("/v1/jobs", jobsReplySchema);
  return reply.map(({ jobs: allJobs }) => {
    const shown = allJobs.filter((j) =>
      values.state === undefined || j.state === values.state
    );
    if (values.json) return print(JSON.stringify(shown));
    printTable(
      ["job", "class", "state", "failures", "key", "note"],
      shown.map((j) => [j.id, j.class, j.state, j.failures, j.key, j.note]),
    );
  });
}

function printJob(job: JobRecord, values: OptionValues): void {
  if (values.json) return print(JSON.stringify(job));
  const note = job.note === undefined ? "" : `: ${job.note}`;
  print(`job ${job.id} of ${job.class} is ${job.state}${note}`);
}

const statusAction: JobAction = async (client, _args, values) => {
  const reply = await client.get("/v1/status", statusReplySchema);
  return reply.map((s) => {
    if (values.json) return print(JSON.stringify(s));
    const ready = s.ready ? "ready" : "not ready";
    const controller = s.controller ? ", controller" : "";
    print(`${s.entry} in ${s.zone}: ${ready}${controller}`);
    print(`table version ${s.tableVersion}, ${s.ownedHosts} hosts owned`);
    print(`${s.inFlight} in flight, ${s.jobs} jobs, ${s.retries} retries`);
    printTable(
      ["entry", "zone", "table version"],
      s.entries.map((e) => [e.entry, e.zone, e.version ?? "unreachable"]),
    );
  });
};

const auditAction: JobAction = async (client, _args, values) => {
  const path = `/v1/audit?limit=${Number(values.limit)}`;
  const reply = await client.get(path, auditReplySchema);
  return reply.map(({ records }) => {
    if (values.json) return print(JSON.stringify(records));
    printTable(
      ["when", "who", "action", "subject"],
      records.map((r) => [
        new Date(r.at).toISOString(),
        r.who,
        r.action,
        r.subject,
      ]),
    );
  });
};

/** Commands `jobs`, `status` and `audit`. */
export const jobCommands: readonly Command[] = [
  defineClientCommand(
    "jobs",
    "list, show, cancel, resume, or settle jobs",
    `jobs list [--state STATE]
       briartide jobs show|cancel|resume ID
       briartide jobs settle ID done|not-run`,
    jobOptions,
    jobsAction,
  ),
  defineClientCommand(
    "status",
    "show the status of an entry",
    "status",
    jobOptions,
    statusAction,
  ),
  defineClientCommand(
    "audit",
    "show the audit trail",
    "audit [--limit N]",
    jobOptions,
    auditAction,
  ),
];
