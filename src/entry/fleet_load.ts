/** Load of each pool over all entries, from which moves are decided. */
import type { MoveInputs } from "../maintenance/index.ts";
import type { PeerMember } from "../peers/index.ts";
import type { SlotScheduler } from "../pipeline/index.ts";
import type { Table } from "../table/index.ts";

/** Adds up the loads of this entry and of the connected entries. */
export function sumFleetLoad(
  table: Table,
  scheduler: SlotScheduler,
  members: readonly PeerMember[],
): Pick<MoveInputs, "pools" | "busy"> {
  const busy = new Map(scheduler.busyByHost());
  for (const { heartbeat } of members) {
    for (const [host, count] of Object.entries(heartbeat?.busy ?? {})) {
      busy.set(host, (busy.get(host) ?? 0) + count);
    }
  }
  const pools = table.pools().map((row) => {
    let { slots, free, urgent } = scheduler.load(row.name);
    for (const { heartbeat } of members) {
      const load = heartbeat?.loads[row.name];
      if (load === undefined) continue;
      slots += load.slots;
      free += load.free;
      urgent += load.urgent;
    }
    return {
      pool: row.name,
      spare: row.spare,
      budget: row.budget,
      slots,
      free,
      queuedUrgent: urgent,
    };
  });
  return { pools, busy };
}
