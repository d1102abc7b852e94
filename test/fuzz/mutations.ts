/** Mutations of an entry; each disables safety mechanisms. */
import { Ok } from "ts-results";
import { defaultMechanisms, type Mechanisms } from "../../src/entry/index.ts";
import { applyFleetEvent } from "../../src/fleet/index.ts";

/** The mechanisms of an entry with some of them disabled. */
export interface Mutation {
  /** Names the disabled mechanisms. */
  readonly name: string;
  readonly mechanisms: Mechanisms;
}

function withoutMechanism(name: string, change: Partial<Mechanisms>): Mutation {
  return { name, mechanisms: { ...defaultMechanisms, ...change } };
}

/** Confirms every epoch without a check. */
const acceptingConfirmer = {
  confirm: () => Promise.resolve(true),
};

/** Accepts any table that a peer sends, even an older one. */
const acceptAnyVersion: Mechanisms["applyFleetEvent"] = (state, event) => {
  if (event.kind !== "delta") return applyFleetEvent(state, event);
  const table = new (Object.getPrototypeOf(state.table).constructor)(
    event.delta.version,
    state.table.rows,
  );
  return { state: { ...state, table }, effects: [] };
};

/** The mutations that `npm run proof` tries, one after another. */
export const mutations: readonly Mutation[] = [
  withoutMechanism("epoch confirmation", {
    wrapConfirmer: () => acceptingConfirmer,
  }),
  withoutMechanism("endpoint idle probe", { endpointIdleProbe: false }),
  withoutMechanism("epoch confirmation and endpoint idle probe", {
    wrapConfirmer: () => acceptingConfirmer,
    endpointIdleProbe: false,
  }),
  withoutMechanism("budget check", { checkBudget: () => Ok(undefined) }),
  withoutMechanism("start committed before send", {
    commitStartBeforeSend: false,
  }),
  withoutMechanism("higher version only", {
    applyFleetEvent: acceptAnyVersion,
  }),
  withoutMechanism("block after a pause", {
    wrapSendGuard: () => ({ maySend: () => true }),
  }),
];
