/**
 * The numbered results of every request, edit and command.
 *
 * A code states whether the request ran. `not-run` is a guarantee: no byte of
 * the request was sent to an endpoint, or the platform's record shows that it
 * was not started. The thousands digit is the group: 1 success, 2 refused,
 * 3 outcome unknown, 4 failed at the endpoint, 5 operator, 6 settings,
 * 7 platform, 8 peer link.
 */

/**
 * Whether a request was run: `done`, `not-run` (guaranteed), `unknown`, or
 * `none` if the result is not about a run.
 */
export type ExecutionStatus = "done" | "not-run" | "unknown" | "none";

/** A numbered result. */
export interface ResultCode {
  readonly code: number;
  readonly name: string;
  /** HTTP status of the response. */
  readonly http: number;
  readonly run: ExecutionStatus;
  /** Description for the documentation. */
  readonly meaning: string;
}

function defineCode(
  code: number,
  name: string,
  http: number,
  run: ExecutionStatus,
  meaning: string,
): ResultCode {
  return Object.freeze({ code, name, http, run, meaning });
}

/** All result codes. */
export const codes = {
  ok: defineCode(1000, "ok", 200, "done", "The endpoint's whole answer."),
  accepted: defineCode(
    1001,
    "accepted",
    202,
    "none",
    "The job is committed and will be run.",
  ),
  queueFull: defineCode(
    2001,
    "queue-full",
    503,
    "not-run",
    "The queue is at its limit, or its pool has no room for the job in time.",
  ),
  deadline: defineCode(
    2002,
    "deadline",
    503,
    "not-run",
    "The request could not start before its deadline.",
  ),
  rateLimited: defineCode(
    2003,
    "rate-limited",
    429,
    "not-run",
    "The class is above its rate limit.",
  ),
  concurrencyLimited: defineCode(
    2004,
    "concurrency-limited",
    429,
    "not-run",
    "The class is at its concurrency limit.",
  ),
  noHost: defineCode(
    2005,
    "no-host",
    503,
    "not-run",
    "No host of the pool can be reached from here.",
  ),
  shuttingDown: defineCode(
    2006,
    "shutting-down",
    503,
    "not-run",
    "The entry is shutting down.",
  ),
  notReady: defineCode(
    2007,
    "not-ready",
    503,
    "not-run",
    "The entry does not hold a table yet.",
  ),
  cancelled: defineCode(
    2008,
    "cancelled",
    499,
    "not-run",
    "The caller cancelled before the request started.",
  ),
  unknownClass: defineCode(
    2009,
    "unknown-class",
    404,
    "not-run",
    "The table holds no class of this name.",
  ),
  bodyTooLarge: defineCode(
    2010,
    "body-too-large",
    413,
    "not-run",
    "The request body exceeds the limit.",
  ),
  badRequest: defineCode(
    2011,
    "bad-request",
    400,
    "not-run",
    "The request is malformed.",
  ),
  methodNotAllowed: defineCode(
    2012,
    "method-not-allowed",
    405,
    "not-run",
    "The method is not accepted.",
  ),
  keyRequired: defineCode(
    2013,
    "key-required",
    400,
    "not-run",
    "The class runs at most once and needs an Idempotency-Key.",
  ),
  recordUnavailable: defineCode(
    2014,
    "record-unavailable",
    503,
    "not-run",
    "The platform could not record the request.",
  ),
  slowCaller: defineCode(
    2015,
    "slow-caller",
    408,
    "not-run",
    "The caller sent its request too slowly.",
  ),
  keyReused: defineCode(
    2016,
    "key-reused",
    422,
    "not-run",
    "The Idempotency-Key was used with a different request.",
  ),
  headersTooLarge: defineCode(
    2017,
    "headers-too-large",
    431,
    "not-run",
    "The request headers exceed the limit.",
  ),
  jobCancelled: defineCode(
    2018,
    "job-cancelled",
    409,
    "not-run",
    "The job was cancelled before it started.",
  ),
  connectFailed: defineCode(
    2019,
    "connect-failed",
    502,
    "not-run",
    "No connection to a host could be opened.",
  ),
  unknownQueue: defineCode(
    2020,
    "unknown-queue",
    404,
    "not-run",
    "The table holds no queue of this host name and path.",
  ),
  noSuchJob: defineCode(
    2021,
    "no-such-job",
    410,
    "none",
    "No job of this id is stored.",
  ),
  jobTooLarge: defineCode(
    2022,
    "job-too-large",
    400,
    "not-run",
    "The job has more tasks, or takes more bytes, than a record holds.",
  ),
  unknownKey: defineCode(
    2023,
    "unknown-key",
    401,
    "not-run",
    "The queue asks for a key, and the request has none of a workspace.",
  ),
  overloaded: defineCode(
    2025,
    "overloaded",
    503,
    "not-run",
    "The entry holds as much for its clients as it may.",
  ),
  connectionLost: defineCode(
    3001,
    "connection-lost",
    502,
    "unknown",
    "The connection to the endpoint broke after the request was sent.",
  ),
  runTimeout: defineCode(
    3002,
    "run-timeout",
    504,
    "unknown",
    "The endpoint did not answer within the run time of the class.",
  ),
  truncated: defineCode(
    3003,
    "truncated",
    502,
    "unknown",
    "The endpoint's answer was cut short.",
  ),
  wrongAnswer: defineCode(
    3004,
    "wrong-answer",
    502,
    "unknown",
    "The answer belonged to another request.",
  ),
  peerLost: defineCode(
    3005,
    "peer-lost",
    502,
    "unknown",
    "The link to the owner of the host broke after the request was sent.",
  ),
  unsettled: defineCode(
    3006,
    "unsettled",
    409,
    "unknown",
    "The run may have happened; an operator has to settle it.",
  ),
  stillRunning: defineCode(
    3007,
    "still-running",
    202,
    "unknown",
    "The job has not finished yet.",
  ),
  internal: defineCode(
    3008,
    "internal",
    500,
    "unknown",
    "An unexpected fault inside the entry.",
  ),
  recordUnknown: defineCode(
    3009,
    "record-unknown",
    504,
    "unknown",
    "The job may be recorded; ask again with the same Idempotency-Key.",
  ),
  endpointFailed: defineCode(
    4001,
    "endpoint-failed",
    502,
    "done",
    "The endpoint ran the request and answered with a server error.",
  ),
  parked: defineCode(
    4002,
    "parked",
    409,
    "done",
    "The job failed too often and is parked until an operator resumes it.",
  ),
  unauthorised: defineCode(
    5001,
    "unauthorised",
    401,
    "none",
    "The bearer token is missing or wrong.",
  ),
  editConflict: defineCode(
    5002,
    "edit-conflict",
    409,
    "none",
    "Another edit changed the same row first.",
  ),
  tableInvalid: defineCode(
    5003,
    "table-invalid",
    422,
    "none",
    "The edited table breaks a rule.",
  ),
  budgetExceeded: defineCode(
    5004,
    "budget-exceeded",
    409,
    "none",
    "The pool's availability budget does not allow the change.",
  ),
  notFound: defineCode(5005, "not-found", 404, "none", "No such object."),
  stateConflict: defineCode(
    5006,
    "state-conflict",
    409,
    "none",
    "The object is not in a state that allows the change.",
  ),
  badCommand: defineCode(
    5007,
    "bad-command",
    400,
    "none",
    "The command or its arguments are malformed.",
  ),
  entryUnreachable: defineCode(
    5008,
    "entry-unreachable",
    503,
    "none",
    "The operator API could not be reached.",
  ),
  notInForce: defineCode(
    5009,
    "not-in-force",
    504,
    "none",
    "The edit is committed; some entries have not confirmed it.",
  ),
  settingsUnreadable: defineCode(
    6001,
    "settings-unreadable",
    400,
    "none",
    "The settings file cannot be read or parsed.",
  ),
  settingsInvalid: defineCode(
    6002,
    "settings-invalid",
    400,
    "none",
    "The settings file breaks the schema.",
  ),
  platformDown: defineCode(
    7001,
    "platform-down",
    503,
    "none",
    "The platform's service refused or could not be reached; nothing was written.",
  ),
  commitUnknown: defineCode(
    7002,
    "commit-unknown",
    504,
    "none",
    "The platform's answer was lost; the write may have taken effect.",
  ),
  rowInvalid: defineCode(
    7003,
    "row-invalid",
    500,
    "none",
    "A row in the platform's table breaks its schema.",
  ),
  commitRefused: defineCode(
    7004,
    "commit-refused",
    400,
    "none",
    "The platform's service found the transaction malformed.",
  ),
  frameInvalid: defineCode(
    8001,
    "frame-invalid",
    400,
    "none",
    "A peer frame broke the schema or the size limit.",
  ),
} as const;

const codesByNumber = new Map<number, ResultCode>(
  Object.values(codes).map((c) => [c.code, c]),
);

/** Finds a code by its number; `internal` for an unknown number. */
export function resultCode(code: number): ResultCode {
  return codesByNumber.get(code) ?? codes.internal;
}
