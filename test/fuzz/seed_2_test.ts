/** Fuzz test with seed 2. */
import { describeFuzz } from "./describe_fuzz.ts";

describeFuzz(2);
