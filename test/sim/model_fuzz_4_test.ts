/** Property-based test of the batch simulation, seed 4. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(4);
