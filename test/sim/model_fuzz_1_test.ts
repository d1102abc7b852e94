/** Stateful fuzzing in the model, seed 1. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(1);
