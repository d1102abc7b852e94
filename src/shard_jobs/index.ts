/**
 * The jobs of one shard, as its owner has read them from the shard's inbox.
 */
export { InboxFollower } from "./inbox_follower.ts";
export { InboxMarks } from "./inbox_marks.ts";
export { JobExpiry } from "./job_expiry.ts";
export { JobOpener } from "./job_opener.ts";
export { JobRegistry, type TrackedJob } from "./job_registry.ts";
export { FinalPayloads } from "./final_payloads.ts";
export { JobTaker } from "./job_taker.ts";
