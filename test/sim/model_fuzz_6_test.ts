/** Property-based test of the batch simulation with restarts, seed 6. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(6, "restarts");
