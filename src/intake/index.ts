/** Submission, status and cancellation of jobs, over the store. */
export { type Admission, OutlookAdmission } from "./admission.ts";
export { Intake, type IntakeRequest } from "./intake.ts";
export { OutlookBoard, outlookPollPauseMs } from "./outlook_board.ts";
export { retryAfterRoom, retryAfterSilence } from "./retry_after.ts";
export { RowCounts } from "./row_counts.ts";
