/** Options of the soak's command line. */
import { parseArgs } from "node:util";
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import { describeError } from "../src/errors/index.ts";

/** Largest seed; a seed is a whole number. */
const maxSeed = 2_147_483_647;

/** Most plays of one call. */
const maxPlays = 1_000;

/** What is played. */
export interface SoakOptions {
  /** Seed of the first play; each further play has the next one. */
  readonly seed: number;
  /** Number of plays, one after the other. */
  readonly plays: number;
  /** Share of the time in which each entry may run, in percent. */
  readonly coreShare: number;
  /** Whether parts of the store are down at times, and a wave runs. */
  readonly hasOutages: boolean;
  /** Whether the logs and settings of the entries stay after the play. */
  readonly keepsLogs: boolean;
}

/** Schema of a whole number that is given as text. */
function wholeNumber(min: number, max: number) {
  return v.pipe(
    v.string(),
    v.regex(/^\d+$/, `must be a whole number`),
    v.transform(Number),
    v.minValue(min, `must be ${min} or more`),
    v.maxValue(max, `must be ${max} or less`),
  );
}

const optionsSchema = v.pipe(
  v.object({
    seed: wholeNumber(0, maxSeed),
    plays: wholeNumber(1, maxPlays),
    "core-share": wholeNumber(1, 100),
    outages: v.boolean(),
    "keep-logs": v.boolean(),
  }),
  v.transform(({ seed, plays, outages, ...rest }) => ({
    seed,
    plays,
    hasOutages: outages,
    coreShare: rest["core-share"],
    keepsLogs: rest["keep-logs"],
  })),
);

/** Reads the options; fails with one line that says what is wrong. */
export function parseOptions(
  args: readonly string[],
): Result<SoakOptions, string> {
  try {
    const { values } = parseArgs({
      args: [...args],
      options: {
        seed: { type: "string", default: "1" },
        plays: { type: "string", default: "1" },
        "core-share": { type: "string", default: "100" },
        outages: { type: "boolean", default: false },
        "keep-logs": { type: "boolean", default: false },
      },
    });
    const parsed = v.safeParse(optionsSchema, values);
    if (parsed.success) return Ok(parsed.output);
    const [{ path, message }] = parsed.issues;
    return Err(`--${String(path?.[0].key)} ${message}`);
  } catch (err) {
    return Err(describeError(err).split("\n")[0]);
  }
}
