/** Fuzz test with seed 1. */
import { describeFuzz } from "./describe_fuzz.ts";

describeFuzz(1);
