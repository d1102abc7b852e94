/** Judges a play by all rules that are judged here. */
import type { Finding } from "./finding.ts";
import { AnswerJudge } from "./judge_answers.ts";
import { IdleJudge } from "./judge_idle.ts";
import { judgeOne } from "./judge_one.ts";
import { judgeTwice } from "./judge_twice.ts";
import type { PlayRecord } from "./play_record.ts";

/** Finds all broken rules of a play, in the order of their time. */
export function judgePlay(record: PlayRecord): readonly Finding[] {
  const findings = [
    ...judgeTwice(record),
    ...judgeOne(record),
    ...new AnswerJudge(record).judge(),
    ...new IdleJudge(record).judge(),
  ];
  return findings.sort((a, b) => a.at - b.at);
}
