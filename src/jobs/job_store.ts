/** Storage of jobs in the platform's table, and of large bodies as objects. */
import { Buffer } from "node:buffer";
import { Ok, type Result } from "ts-results";
import { codes, fail, type Failure } from "../errors/index.ts";
import {
  type DecodedRow,
  decodeRow,
  decodeRows,
  type Platform,
  type PlatformRowWrite,
} from "../platform/index.ts";
import {
  endedJobKey,
  endedJobKeyPrefix,
  isEnded,
  type Job,
  jobSchema,
  openJobKey,
  openJobKeyPrefix,
  type StoredBody,
} from "./job.ts";

/** Bodies of up to this many bytes are stored in the row. */
const maxInlineBytes = 8_192;

/** A job with the key and version of its row. */
export type StoredJob = DecodedRow<Job>;

/** Outcome of a conditional write. */
export type JobWrite =
  | { readonly kind: "written"; readonly job: StoredJob }
  /** Another write came first; `job` is the current row, if there is one. */
  | { readonly kind: "changed"; readonly job: StoredJob | undefined };

/** Reads and writes jobs. */
export class JobStore {
  constructor(private readonly platform: Platform) {}

  /**
   * Adds a job unless its id exists. Fails as the table service does, or with
   * `commitRefused`.
   */
  async create(
    job: Job,
    operation: string,
  ): Promise<Result<JobWrite, Failure>> {
    const outcome = await this.platform.table.commit({
      operation,
      checks: [
        { key: openJobKey(job.id), version: 0 },
        { key: endedJobKey(job.id), version: 0 },
      ],
      writes: [{ key: openJobKey(job.id), value: job }],
    });
    return await this.#toJobWrite(outcome, job);
  }

  /**
   * Replaces a job's row if it still has the version of `from`, in one
   * transaction with the extra writes. The row of an ended job moves to its
   * ended key. Fails as the table service does, or with `commitRefused`.
   */
  async replace(
    from: StoredJob,
    to: Job,
    operation: string,
    extraWrites: readonly PlatformRowWrite[] = [],
  ): Promise<Result<JobWrite, Failure>> {
    const writes: PlatformRowWrite[] = isEnded(to)
      ? [
        { key: openJobKey(to.id), value: null },
        { key: endedJobKey(to.id), value: to },
      ]
      : [{ key: openJobKey(to.id), value: to }];
    const outcome = await this.platform.table.commit({
      operation,
      checks: [{ key: from.key, version: from.version }],
      writes: [...writes, ...extraWrites],
    });
    return await this.#toJobWrite(outcome, to);
  }

  /** Converts the outcome of a commit; reads the row after a conflict. */
  async #toJobWrite(
    outcome: Awaited<ReturnType<Platform["table"]["commit"]>>,
    job: Job,
  ): Promise<Result<JobWrite, Failure>> {
    if (outcome.err) return outcome;
    if (outcome.val.kind === "committed") {
      const key = isEnded(job) ? endedJobKey(job.id) : openJobKey(job.id);
      const { version } = outcome.val;
      return Ok({ kind: "written", job: { key, version, value: job } });
    }
    if (outcome.val.kind === "refused") {
      return fail(codes.commitRefused, outcome.val.message);
    }
    const current = await this.find(job.id);
    return current.map((found) => ({ kind: "changed", job: found } as const));
  }

  /** Finds a job by id; undefined when there is none. */
  async find(id: string): Promise<Result<StoredJob | undefined, Failure>> {
    const keys = [openJobKey(id), endedJobKey(id)];
    const rows = await this.platform.table.read({ keys });
    if (rows.err) return rows;
    const row = rows.val[0];
    return row === undefined ? Ok(undefined) : decodeRow(jobSchema, row);
  }

  /** Lists the jobs that have not ended. */
  async listOpen(): Promise<Result<readonly StoredJob[], Failure>> {
    const rows = await this.platform.table.read({
      prefixes: [openJobKeyPrefix],
    });
    return rows.map((found) => decodeRows(jobSchema, found, openJobKeyPrefix));
  }

  /** Lists all jobs, including ended ones. */
  async listAll(): Promise<Result<readonly StoredJob[], Failure>> {
    const prefixes = [openJobKeyPrefix, endedJobKeyPrefix];
    const rows = await this.platform.table.read({ prefixes });
    return rows.map((list) => decodeRows(jobSchema, list, ""));
  }

  /** Stores a body: a small one in the row, a larger one as an object. */
  async saveBody(
    name: string,
    bytes: Uint8Array,
  ): Promise<Result<StoredBody, Failure>> {
    if (bytes.length <= maxInlineBytes) {
      const base64 = Buffer.from(bytes).toString("base64");
      return Ok({ kind: "inline", base64 });
    }
    const put = await this.platform.objects.put(name, bytes);
    return put.map(() => ({ kind: "object", name } as const));
  }

  /** Loads a stored body. */
  async loadBody(body: StoredBody): Promise<Result<Uint8Array, Failure>> {
    if (body.kind === "object") {
      return await this.platform.objects.get(body.name);
    }
    return Ok(new Uint8Array(Buffer.from(body.base64, "base64")));
  }
}
