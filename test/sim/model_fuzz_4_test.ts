/** Stateful fuzzing in the model, seed 4. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(4);
