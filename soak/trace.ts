/** Prints findings with what was seen of their tasks and what entries logged. */
import { readFileSync } from "node:fs";
import * as v from "valibot";
import type { EntryProcess } from "./entry_process.ts";
import type { Finding } from "./finding.ts";
import type { PlayRecord, SeenRun } from "./play_record.ts";

/** A line of an entry's log. */
const logLineSchema = v.looseObject({ time: v.string(), msg: v.string() });

/** Most log lines of one finding. */
const maxLogLines = 40;

/** A time of the play in s, with ms. */
function seconds(at: number | undefined): string {
  return at === undefined ? "-" : (at / 1_000).toFixed(3);
}

/** One line on a run. */
function describeRun(run: SeenRun): string {
  const { endpoint, zone, life, fence, startedAt, endedAt, notedAt } = run;
  return `  run ${run.run} on ${endpoint} (${zone}), life ${life}, fence ` +
    `${fence}: ${seconds(startedAt)} to ${seconds(endedAt)} s ` +
    `${run.end ?? "running"}, noted ${seconds(notedAt)}`;
}

/** Lines on the disturbances of the endpoints of a task's runs. */
function describeDisturbances(
  record: PlayRecord,
  runs: readonly SeenRun[],
): readonly string[] {
  const endpoints = new Set(runs.map(({ endpoint }) => endpoint));
  return record.disturbances
    .filter(({ what, who }) => what === "kill" || endpoints.has(who))
    .map(({ what, who, from, to }) =>
      `  ${what} of ${who}: ${seconds(from)} to ${seconds(to)} s`
    );
}

/** Fields of a log line that say nothing on a finding. */
const plainFields: ReadonlySet<string> = new Set([
  "name",
  "hostname",
  "pid",
  "level",
  "v",
  "entry",
  "zone",
  "job",
  "time",
  "msg",
]);

/** A log line with its time, message and remaining fields; as is if odd. */
export function shortenLogLine(line: string): string {
  try {
    const { time, msg, ...fields } = v.parse(logLineSchema, JSON.parse(line));
    const rest = Object.entries(fields)
      .filter(([name]) => !plainFields.has(name))
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    return [time, msg, ...rest].join(" ");
  } catch {
    return line;
  }
}

/** The log lines of entries that name a job and, if given, its task. */
export function findLogLines(
  entries: readonly EntryProcess[],
  { job, task }: Finding,
): readonly string[] {
  const name = `"${task ?? job}"`;
  const lines = entries.flatMap(({ plan, logFile }) =>
    readFileSync(logFile, "utf8").split("\n")
      .filter((line) => line.includes(name))
      .map((line) => `  ${plan.name} ${shortenLogLine(line)}`)
  );
  return lines.slice(0, maxLogLines);
}

/** The trace of a finding, a line each. */
export function traceFinding(
  seed: number,
  finding: Finding,
  record: PlayRecord,
  logLines: readonly string[],
): readonly string[] {
  const { rule, part, job, task, at, text } = finding;
  const runs = task === undefined
    ? record.runs.filter((run) => run.job === job)
    : record.runsOf(task);
  const time = new Date(record.startedAt + at).toISOString();
  return [
    `seed ${seed}: ${rule} (${part}) at ${seconds(at)} s (${time}), ` +
    `${task ?? job}: ${text}`,
    ...runs.map(describeRun),
    ...describeDisturbances(record, runs),
    ...logLines,
  ];
}
