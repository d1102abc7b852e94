/**
 * Rows by which the fleet's owner and the shards' owners arrange that a host
 * is empty before its maintenance.
 */
import * as v from "valibot";
import { parseJson, type RowKey } from "../store/index.ts";

/** Shard of the fleet: waves and moves of hosts. */
export const fleetShard = "fleet";

/** Table of the endpoints that have to become empty. */
export const vacateTable = "vacate";

/** Row that asks for an endpoint to become empty; the fleet's owner writes. */
export function vacateKey(endpoint: string): RowKey {
  return { table: vacateTable, partition: fleetShard, key: endpoint };
}

/** `emptying`: nothing new there. `down`: all that ran there has ended. */
export const vacateStates = ["emptying", "down"] as const;
export type VacateState = typeof vacateStates[number];

const vacateSchema = v.object({ state: v.picklist(vacateStates) });

/** Encodes the value of a vacate row. */
export function encodeVacate(state: VacateState): string {
  const row: v.InferOutput<typeof vacateSchema> = { state };
  return JSON.stringify(row);
}

/** Decodes the value of a vacate row. */
export function decodeVacate(value: string): VacateState {
  return parseJson(vacateSchema, value)?.state ?? "emptying";
}

/** Row that says that an endpoint is empty; its shard's owner writes. */
export function vacatedKey(shard: string, endpoint: string): RowKey {
  return { table: "vacated", partition: shard, key: endpoint };
}

/** Row with what a shard's jobs ask of its pool; its owner writes. */
export function demandKey(shard: string): RowKey {
  return { table: "demand", partition: shard, key: "demand" };
}

/** Row with what has been done of a wave. */
export function waveRowKey(wave: string): RowKey {
  return { table: "waves", partition: fleetShard, key: wave };
}
