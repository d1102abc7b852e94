/** The memory of a body that arrives in chunks of any size. */
import { Buffer } from "node:buffer";

/** Sizes of the first blocks, and of all later ones, in bytes. */
const blockSizes = [1_024, 4_096, 16_384] as const;

/**
 * Bytes of a body in blocks, which take about its size however small its chunks
 * are, and leave no garbage as it grows.
 */
export class BodyMemory {
  readonly #blocks: Buffer[] = [];
  #length = 0;
  #capacity = 0;

  /** Number of bytes added. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that it holds. */
  get capacity(): number {
    return this.#capacity;
  }

  /** Bytes of memory that it needs besides to add so many bytes. */
  missingCapacity(bytes: number): number {
    const free = this.#capacity - this.#length;
    let missing = 0;
    for (let i = this.#blocks.length; free + missing < bytes; i++) {
      missing += blockSize(i);
    }
    return missing;
  }

  /** Adds a copy of a chunk. */
  append(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const free = this.#capacity - this.#length;
      if (free === 0) {
        this.#addBlock();
        continue;
      }
      const last = this.#blocks[this.#blocks.length - 1];
      const count = chunk.copy(last, last.length - free, copied);
      copied += count;
      this.#length += count;
    }
  }

  /** Copies the bytes added into one piece. */
  toBytes(): Uint8Array {
    return Buffer.concat(this.#blocks, this.#length);
  }

  #addBlock(): void {
    const size = blockSize(this.#blocks.length);
    // Not from the shared pool, which a small slice would keep alive.
    this.#blocks.push(Buffer.allocUnsafeSlow(size));
    this.#capacity += size;
  }
}

/** Size of the block with this index, in bytes. */
function blockSize(index: number): number {
  return blockSizes[Math.min(index, blockSizes.length - 1)];
}
