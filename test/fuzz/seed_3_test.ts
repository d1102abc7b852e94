/** Fuzz test with seed 3. */
import { describeFuzz } from "./describe_fuzz.ts";

describeFuzz(3);
