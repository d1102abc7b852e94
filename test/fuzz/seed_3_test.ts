import { describeFuzz } from "./describe_fuzz.ts";

describeFuzz(3);
