/** Stateful fuzzing in the model, seed 2. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(2);
