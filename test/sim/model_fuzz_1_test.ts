/** Property-based test of the batch simulation, seed 1. */
import { describeModelFuzz } from "./describe_model_fuzz.ts";

describeModelFuzz(1);
