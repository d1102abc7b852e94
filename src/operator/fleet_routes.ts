/** Routes for hosts, waves and the registrations of entries. */
import { Ok, type Result } from "ts-results";
import type { Failure } from "../errors/index.ts";
import type { Host } from "../hosts/index.ts";
import type { WaveCommand } from "../maintenance/index.ts";
import { moveRequestSchema, wavePlanSchema } from "./api_types.ts";
import {
  controlWave,
  createWave,
  drainHostForOperator,
  forgetEntry,
  moveHostForOperator,
  readWaves,
  returnHostForOperator,
} from "./fleet_changes.ts";
import { parseBody } from "./json_body.ts";
import {
  get,
  type OperatorApiDependencies,
  post,
  type Route,
} from "./route.ts";

/** Returns the routes for hosts. */
export function hostRoutes(deps: OperatorApiDependencies): readonly Route[] {
  return [
    get(/^\/v1\/hosts$/, () => Promise.resolve(Ok(listHosts(deps)))),
    post(
      /^\/v1\/hosts\/([^/]+)\/drain$/,
      async ({ pathArgs, ctx }) =>
        publishHost(deps, await drainHostForOperator(deps, pathArgs[0], ctx)),
    ),
    post(
      /^\/v1\/hosts\/([^/]+)\/return$/,
      async ({ pathArgs, ctx }) =>
        publishHost(deps, await returnHostForOperator(deps, pathArgs[0], ctx)),
    ),
    post(/^\/v1\/hosts\/([^/]+)\/move$/, async ({ pathArgs, ctx, body }) => {
      const request = parseBody(moveRequestSchema, body);
      if (request.err) return request;
      const { pool } = request.val;
      return publishHost(
        deps,
        await moveHostForOperator(deps, pathArgs[0], pool, ctx),
      );
    }),
  ];
}

/** Returns the routes for waves. */
export function waveRoutes(deps: OperatorApiDependencies): readonly Route[] {
  return [
    get(
      /^\/v1\/waves$/,
      async () => (await readWaves(deps)).map((waves) => ({ waves })),
    ),
    post(/^\/v1\/waves$/, async ({ body, ctx }) => {
      const plan = parseBody(wavePlanSchema, body);
      if (plan.err) return plan;
      const wave = await createWave(deps, plan.val, ctx);
      return wave.map((value) => ({ wave: value }));
    }),
    post(
      /^\/v1\/waves\/([^/]+)\/(start|approve|pause|resume|stop)$/,
      async ({ pathArgs, ctx }) => {
        const command = pathArgs[1] as WaveCommand;
        const wave = await controlWave(deps, pathArgs[0], command, ctx);
        return wave.map((value) => ({ wave: value }));
      },
    ),
  ];
}

/** Returns the routes for the registrations of entries. */
export function entryRoutes(deps: OperatorApiDependencies): readonly Route[] {
  return [
    post(
      /^\/v1\/entries\/([^/]+)\/forget$/,
      async ({ pathArgs, ctx }) =>
        (await forgetEntry(deps, pathArgs[0], ctx)).map((zones) => ({ zones })),
    ),
  ];
}

function listHosts(deps: OperatorApiDependencies) {
  const hosts = [...deps.fleetState().hosts.values()];
  hosts.sort((a, b) => a.name.localeCompare(b.name));
  return { hosts };
}

/** Applies a changed host to this entry's fleet state at once. */
function publishHost(
  deps: OperatorApiDependencies,
  result: Result<Host, Failure>,
): Result<unknown, Failure> {
  if (result.ok) deps.applyEvent({ kind: "hosts", rows: [result.val] });
  return result.map((value) => ({ host: value }));
}
