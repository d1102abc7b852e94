/** Property-based test of the batch simulation, seed 3. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(3);
