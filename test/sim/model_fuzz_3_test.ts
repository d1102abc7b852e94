/** Stateful fuzzing in the model, seed 3. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(3);
