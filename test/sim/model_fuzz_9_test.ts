/** Property-based test of the batch simulation with outages in part, seed 9. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(9, "outages");
