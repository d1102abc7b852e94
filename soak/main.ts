/** The program of `npm run batch-soak`; see `command.ts`. */
import process from "node:process";
import { runSoak } from "./command.ts";

runSoak(process.argv.slice(2)).then((code) => process.exit(code));
