/** Fuzz test with seed 4. */
import { describeFuzz } from "./describe_fuzz.ts";

describeFuzz(4);
