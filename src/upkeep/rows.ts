/**
 * Store rows through which the fleet's owner and the pools' shard owners
 * coordinate host maintenance and pool sizes.
 */
import * as v from "valibot";
import { fleetShard, shardOfPool } from "../cluster/index.ts";
import { parseJson, type StoreRowKey } from "../store/index.ts";

/** Table of the endpoints to vacate. */
export const vacateTable = "vacate";

/** Key of the request to vacate an endpoint; the fleet's owner writes it. */
export function vacateKey(endpoint: string): StoreRowKey {
  return { table: vacateTable, partition: fleetShard, key: endpoint };
}

/**
 * `planned`: its host is to be maintained later in a wave, and tasks with an
 * availability budget move away ahead of its turn. `emptying`: no new runs start
 * there. `down`: all runs there have ended.
 */
export const vacateStates = ["planned", "emptying", "down"] as const;
/** State in a vacate row. */
export type VacateRowState = typeof vacateStates[number];
/** State of an endpoint to vacate now. */
export type VacateState = Exclude<VacateRowState, "planned">;

const vacateSchema = v.object({ state: v.picklist(vacateStates) });

/** Encodes the value of a vacate row. */
export function encodeVacate(state: VacateRowState): string {
  const row: v.InferOutput<typeof vacateSchema> = { state };
  return JSON.stringify(row);
}

/** Decodes the value of a vacate row; `emptying` if it is invalid. */
export function decodeVacate(value: string): VacateRowState {
  return parseJson(vacateSchema, value)?.state ?? "emptying";
}

/** Key of the report that an endpoint is empty; its pool's owner writes it. */
export function vacatedKey(pool: string, endpoint: string): StoreRowKey {
  return { table: "vacated", partition: shardOfPool(pool), key: endpoint };
}

/** Key of a wave's progress; the fleet's owner writes it. */
export function waveRowKey(wave: string): StoreRowKey {
  return { table: "waves", partition: fleetShard, key: wave };
}

/** Returns the ids of the endpoints whose host has been taken down. */
export function takenDownEndpoints(
  vacating: ReadonlyMap<string, VacateState>,
): ReadonlySet<string> {
  const down = [...vacating].filter(([, state]) => state === "down");
  return new Set(down.map(([id]) => id));
}
