/** Reproducible random numbers and hashes. */

/** Returns a mulberry32 generator of numbers in [0, 1). */
export function mulberry32(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** 32-bit FNV-1a hash over the code points of a text. */
export function fnv1a32(text: string): number {
  let h = 2_166_136_261;
  for (const c of text) h = Math.imul(h ^ (c.codePointAt(0) ?? 0), 16_777_619);
  return h >>> 0;
}
