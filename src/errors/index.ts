/** Numbered result codes and typed failures. */
export {
  codes,
  type ExecutionStatus,
  type ResultCode,
  resultCode,
} from "./result_code.ts";
export {
  describeError,
  fail,
  type Failure,
  type Issue,
  type RowConflict,
} from "./failure.ts";
