/** Zones, entries and pools of the two example deployments. */
import { readFileSync } from "node:fs";
import type { PlatformListedHost } from "../src/platform/index.ts";

const slots = 8;
const connections = 64;
const hostsPerRack = 4;

/** Zones and sizes of a deployment. */
export interface Deployment {
  readonly name: string;
  readonly zones: readonly string[];
  /** Zone of each of the six entries. */
  readonly entryZones: readonly string[];
  /** Number of hosts of each pool. */
  readonly pools: Readonly<Record<string, number>>;
  /** Name of the spare pool. */
  readonly spare: string;
}

/** The deployments by name. */
export const deployments: Readonly<Record<string, Deployment>> = {
  hinokuni: {
    name: "hinokuni",
    zones: ["fukuoka", "kumamoto", "kagoshima", "oita"],
    entryZones: [
      "fukuoka",
      "fukuoka",
      "kumamoto",
      "kumamoto",
      "kagoshima",
      "oita",
    ],
    pools: {
      "fitters": 8,
      "fault-desk": 8,
      "battery-exchange": 8,
      "billing": 8,
      "office-admin": 8,
    },
    spare: "office-admin",
  },
  ironshore: {
    name: "ironshore",
    zones: ["detroit", "cleveland", "chicago"],
    entryZones: [
      "detroit",
      "detroit",
      "cleveland",
      "cleveland",
      "chicago",
      "chicago",
    ],
    pools: {
      "fees-michigan": 6,
      "fees-ohio": 6,
      "fees-illinois": 8,
      "fees-wisconsin": 9,
      "rates": 6,
    },
    spare: "rates",
  },
};

/** Reads the table of a deployment as CSV. */
export function readTableCsv(deployment: Deployment): string {
  return readFileSync(`examples/${deployment.name}.csv`, "utf8");
}

/** Lists the worker hosts of a deployment, with empty addresses. */
export function listWorkers(
  deployment: Deployment,
): readonly PlatformListedHost[] {
  const hosts: PlatformListedHost[] = [];
  const hostsPerZone = new Map<string, number>();
  for (const [pool, count] of Object.entries(deployment.pools)) {
    for (let i = 0; i < count; i++) {
      const zone = deployment.zones[i % deployment.zones.length];
      const index = hostsPerZone.get(zone) ?? 0;
      hostsPerZone.set(zone, index + 1);
      hosts.push({
        name: `${pool}-${i + 1}`,
        role: "worker",
        state: "live",
        zone,
        rack: `${zone}-r${Math.floor(index / hostsPerRack) + 1}`,
        address: "",
        pool,
        slots,
        connections,
      });
    }
  }
  return hosts;
}
