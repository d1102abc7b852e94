/** Replacements that switch off one safety mechanism each. */
import { Ok } from "ts-results";
import { type Mechanisms, ownMechanisms } from "../../src/entry/index.ts";
import { applyFleetEvent } from "../../src/fleet/index.ts";

/** An entry without one of its mechanisms. */
export interface Mutation {
  readonly name: string;
  readonly mechanisms: Mechanisms;
}

function without(name: string, change: Partial<Mechanisms>): Mutation {
  return { name, mechanisms: { ...ownMechanisms, ...change } };
}

const alwaysConfirmed = {
  confirm: () => Promise.resolve(true),
};

/** Adopts any table that a peer sends, also an older one. */
const anyVersion: Mechanisms["applyFleetEvent"] = (state, event) => {
  if (event.kind !== "delta") return applyFleetEvent(state, event);
  const table = new (Object.getPrototypeOf(state.table).constructor)(
    event.delta.version,
    state.table.rows,
  );
  return { state: { ...state, table }, effects: [] };
};

export const mutations: readonly Mutation[] = [
  without("epoch confirmation", { confirmer: () => alwaysConfirmed }),
  without("endpoint idle probe", { endpointIdleProbe: false }),
  without("epoch confirmation and endpoint idle probe", {
    confirmer: () => alwaysConfirmed,
    endpointIdleProbe: false,
  }),
  without("budget check", { checkBudget: () => Ok(undefined) }),
  without("start committed before send", { startBeforeSend: false }),
  without("higher version only", { applyFleetEvent: anyVersion }),
  without("block after a pause", { guard: () => ({ maySend: () => true }) }),
];
