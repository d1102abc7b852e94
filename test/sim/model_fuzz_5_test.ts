/** Property-based test of the batch simulation with restarts, seed 5. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(5, "restarts");
