/** Builds records of plays for the tests of the judge. */
import {
  PlayRecord,
  type SeenAnswer,
  type SeenJob,
  type SeenLife,
  type SeenRun,
  type SubmittedStep,
} from "../../soak/play_record.ts";

/** Id of the job of these records. */
export const jobId = "5c0e7a21d94b36f8";

/** Its task, if it has one step. */
export const task = `${jobId}.0.0.0`;

/** Start of the endpoints' lives, in ms since 1970. */
const life = 1_000_000;

const step: SubmittedStep = {
  count: 1,
  cpu: 1_000,
  memMb: 1_000,
  estRuntimeMs: 1_000,
};

/** Adds an accepted job; by default it has one step of one task. */
export function addJob(record: PlayRecord, job: Partial<SeenJob> = {}): void {
  record.jobs.set(jobId, {
    id: jobId,
    queue: "rent-bill",
    pool: "billing",
    steps: [step],
    sentAt: 0,
    acceptedAt: 10,
    ...job,
  });
}

/** A step with some changes. */
export function stepWith(changes: Partial<SubmittedStep>): SubmittedStep {
  return { ...step, ...changes };
}

/** Adds a run of `task`, by default its first one on the first endpoint. */
export function addRun(record: PlayRecord, run: Partial<SeenRun>): void {
  record.addRun({
    task,
    job: jobId,
    run: 1,
    endpoint: "i-1",
    zone: "oita",
    life,
    fence: 1,
    startedAt: 0,
    ...run,
  });
}

/** Adds the life of an endpoint with 4 cores that lasts from the beginning. */
export function addLife(
  record: PlayRecord,
  changes: Partial<SeenLife> = {},
): void {
  record.lives.push({
    endpoint: "i-1",
    pool: "billing",
    zone: "oita",
    life,
    capacity: { cpu: 4_000, memMb: 16_000 },
    from: 0,
    ...changes,
  });
}

/** Adds an answer to a question for the job. */
export function addAnswer(
  record: PlayRecord,
  answer: Partial<SeenAnswer>,
): void {
  record.answers.push({
    job: jobId,
    entry: "front-oita-1",
    sentAt: 0,
    answeredAt: (answer.sentAt ?? 0) + 5,
    status: 200,
    state: "running",
    ...answer,
  });
}

/** A record whose jobs are asked for at 40 s and whose end is at 44 s. */
export function newRecord(): PlayRecord {
  const record = new PlayRecord();
  record.finishAt = 40_000;
  record.endAt = 44_000;
  return record;
}
