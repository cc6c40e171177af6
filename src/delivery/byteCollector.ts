// Chunks of at least this size are kept as they were received.
const MIN_KEPT_CHUNK_BYTES = 4096;
const MAX_BLOCK_BYTES = 16 * 1024;

/**
 * Collects the chunks of a body. Small chunks are copied into blocks: a chunk takes about a hundred
 * bytes more than it holds, and keeps all bytes in memory that were read together with it.
 */
export class ByteCollector {
  private readonly blocks: Buffer[] = [];

  /** The last block while it has room, of which `blockUsed` bytes are filled; null otherwise. */
  private openBlock: Buffer | null = null;

  private blockUsed = 0;

  private size = 0;

  /** Number of bytes collected. */
  length(): number {
    return this.size;
  }

  append(chunk: Buffer): void {
    this.size += chunk.length;
    const isMostOfItsMemory = chunk.length >= chunk.buffer.byteLength / 2;
    if (chunk.length >= MIN_KEPT_CHUNK_BYTES && isMostOfItsMemory) {
      this.closeBlock();
      this.blocks.push(chunk);
      return;
    }
    let copied = 0;
    while (copied < chunk.length) {
      const block = this.openBlock ?? this.beginBlock(chunk.length - copied);
      const bytes = chunk.copy(block, this.blockUsed, copied);
      copied += bytes;
      this.blockUsed += bytes;
      if (this.blockUsed === block.length) this.closeBlock();
    }
  }

  /** Returns the collected bytes in order, and forgets them. */
  take(): Buffer[] {
    this.closeBlock();
    this.size = 0;
    return this.blocks.splice(0);
  }

  // Blocks grow with the body, so that a body of one chunk takes no more than its own bytes.
  private beginBlock(needed: number): Buffer {
    const block = Buffer.allocUnsafe(Math.max(needed, Math.min(this.size, MAX_BLOCK_BYTES)));
    this.openBlock = block;
    this.blockUsed = 0;
    return block;
  }

  private closeBlock(): void {
    if (this.openBlock === null) return;
    this.blocks.push(this.openBlock.subarray(0, this.blockUsed));
    this.openBlock = null;
  }
}
