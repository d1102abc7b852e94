/** Routes for jobs. */
import type { Result } from "ts-results";
import type { Failure } from "../errors/index.ts";
import type { StoredJob } from "../jobs/index.ts";
import { settleRequestSchema } from "./api_types.ts";
import { parseBody } from "./json_body.ts";
import {
  get,
  type OperatorApiDependencies,
  post,
  type Route,
} from "./route.ts";

/** Returns the routes for jobs. */
export function jobRoutes(
  { jobs }: Pick<OperatorApiDependencies, "jobs">,
): readonly Route[] {
  return [
    get(
      /^\/v1\/jobs$/,
      async () =>
        (await jobs.list()).map((list) => ({ jobs: list.map((j) => j.value) })),
    ),
    get(
      /^\/v1\/jobs\/([^/]+)$/,
      async ({ pathArgs }) => jobReply(await jobs.find(pathArgs[0])),
    ),
    post(
      /^\/v1\/jobs\/([^/]+)\/cancel$/,
      async ({ pathArgs, ctx }) =>
        jobReply(await jobs.cancel(pathArgs[0], ctx)),
    ),
    post(
      /^\/v1\/jobs\/([^/]+)\/resume$/,
      async ({ pathArgs, ctx }) =>
        jobReply(await jobs.resume(pathArgs[0], ctx)),
    ),
    post(/^\/v1\/jobs\/([^/]+)\/settle$/, async ({ pathArgs, ctx, body }) => {
      const request = parseBody(settleRequestSchema, body);
      if (request.err) return request;
      return jobReply(await jobs.settle(pathArgs[0], request.val.as, ctx));
    }),
  ];
}

function jobReply(
  result: Result<StoredJob, Failure>,
): Result<unknown, Failure> {
  return result.map((job) => ({ job: job.value }));
}
