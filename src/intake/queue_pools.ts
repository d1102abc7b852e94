/**
 * The pools that a queue has had, in the order in which it got them.
 *
 * The operator may send a queue to another pool. Its earlier jobs stay where
 * they are, so entries must find them whatever catalog they follow. The first
 * pool is the queue's home, which never changes: the home's inbox tells where
 * each job of the queue is stored.
 */
import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { Queue } from "../catalog/index.ts";
import {
  chunks,
  parseJson,
  type Store,
  type StoreFailure,
  type StoreRow,
  type StoreRowKey,
} from "../store/index.ts";
import { singleKeyRange } from "../batch/index.ts";

const table = "queue-pools";

/** Most queues that one transaction adds pools to. */
const maxQueuesPerCommit = 40;

/** Longest key of a row, in bytes. */
const maxKeyBytes = 200;

/** Failure of a write that another entry's write has preceded. */
const conflictFailure: StoreFailure = {
  kind: "refused",
  message: "another entry wrote the row",
};

const poolsSchema = v.object({ pools: v.array(v.string()) });

/** Identifies a queue by what its callers send, whatever its name or pool is. */
export function queueId({ authority, prefix }: Queue): string {
  return authority + prefix;
}

/** Key of the row that lists a queue's pools. */
function rowKey(queue: Queue): StoreRowKey {
  const id = queueId(queue);
  const key = Buffer.byteLength(id) <= maxKeyBytes
    ? id
    : createHash("sha256").update(id).digest("hex");
  return { table, partition: table, key };
}

function decodePools(row: StoreRow | undefined): readonly string[] {
  return parseJson(poolsSchema, row?.value ?? "")?.pools ?? [];
}

/** A queue, and the row of its pools if there is one. */
interface QueueRow {
  readonly queue: Queue;
  readonly row: StoreRow | undefined;
}

/** Reads and extends the lists of the queues' pools. */
export class QueuePools {
  /** Lists as last read, by queue; each may lack the newest pools. */
  readonly #known = new Map<string, readonly string[]>();

  constructor(private readonly store: Store) {}

  /**
   * Records the present pools of queues ahead of their first use. If that fails,
   * {@link home} does it.
   */
  async prepare(queues: readonly Queue[]): Promise<void> {
    const unknown = queues.filter((queue) => !this.#isKnown(queue));
    if (unknown.length === 0) return;
    const read = await this.store.range({ table, partition: table });
    if (read.err) return;
    const rows = new Map(read.val.rows.map((row) => [row.key, row]));
    const missing = new Map<string, QueueRow>();
    for (const queue of unknown) {
      const row = rows.get(rowKey(queue).key);
      if (!this.#learn(queue, row)) missing.set(queueId(queue), { queue, row });
    }
    for (const batch of chunks([...missing.values()], maxQueuesPerCommit)) {
      await this.#extend(batch);
    }
  }

  /**
   * Returns the queue's home pool. Before that, records that the queue has its
   * present pool, so that the jobs stored there are found later.
   */
  async home(queue: Queue): Promise<Result<string, StoreFailure>> {
    if (!this.#isKnown(queue)) {
      const read = await this.store.range(singleKeyRange(rowKey(queue)));
      if (read.err) return read;
      const [row] = read.val.rows;
      const extended = this.#learn(queue, row)
        ? Ok(undefined)
        : await this.#extend([{ queue, row }]);
      if (extended.err) return extended;
    }
    const [home] = this.#known.get(queueId(queue)) ?? [queue.pool];
    return Ok(home);
  }

  /** Reads all pools that the queue has had, with the present one. */
  async list(queue: Queue): Promise<Result<readonly string[], StoreFailure>> {
    const read = await this.store.range(singleKeyRange(rowKey(queue)));
    if (read.err) return read;
    return Ok([...new Set([...decodePools(read.val.rows[0]), queue.pool])]);
  }

  /** Whether the queue is known to be recorded with its present pool. */
  #isKnown(queue: Queue): boolean {
    return this.#known.get(queueId(queue))?.includes(queue.pool) ?? false;
  }

  /** Learns a queue's pools from its row; false if the present one is missing. */
  #learn(queue: Queue, row: StoreRow | undefined): boolean {
    const pools = decodePools(row);
    if (!pools.includes(queue.pool)) return false;
    this.#known.set(queueId(queue), pools);
    return true;
  }

  /** Adds the present pools of some queues to their rows. */
  async #extend(
    queueRows: readonly QueueRow[],
  ): Promise<Result<void, StoreFailure>> {
    const extended = queueRows.map(({ queue, row }) => ({
      queue,
      version: row?.version ?? 0,
      pools: [...decodePools(row), queue.pool],
    }));
    const outcome = await this.store.commit({
      checks: extended.map(({ queue, version }) => (
        { ...rowKey(queue), version }
      )),
      puts: extended.map(({ queue, pools }) => (
        { ...rowKey(queue), value: JSON.stringify({ pools }) }
      )),
      removes: [],
    });
    if (outcome.err) return outcome;
    if (outcome.val.kind === "conflict") return Err(conflictFailure);
    for (const { queue, pools } of extended) {
      this.#known.set(queueId(queue), pools);
    }
    return Ok(undefined);
  }
}
