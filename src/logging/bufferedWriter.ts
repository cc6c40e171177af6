import { type Writable } from 'node:stream';

// Holds about 10 s of decisions at 3,000 calls/s and 250 bytes per line.
const DEFAULT_CAPACITY_BYTES = 8 * 1024 * 1024;
const FLUSH_INTERVAL_MS = 50;
const FLUSH_SIZE_BYTES = 64 * 1024;

/**
 * Buffers log lines and writes them in large blocks, so that a call never waits for the log. Lines
 * that exceed the capacity while the output is blocked are dropped and counted.
 */
export class BufferedWriter {
  private lines: string[] = [];

  private bufferedLength = 0;

  private droppedCount = 0;

  private isBlocked = false;

  private isClosed = false;

  private flushTimer: NodeJS.Timeout | null = null;

  constructor(
    private readonly output: Writable,
    private readonly capacity: number = DEFAULT_CAPACITY_BYTES,
  ) {}

  /** Number of lines dropped since the start. */
  droppedLines(): number {
    return this.droppedCount;
  }

  /** Buffers one line including its newline, or drops it; bunyan calls this for each record. */
  write(line: string): boolean {
    if (this.isClosed || this.bufferedLength + line.length > this.capacity) {
      this.droppedCount += 1;
      return true;
    }
    this.lines.push(line);
    this.bufferedLength += line.length;
    if (this.bufferedLength >= FLUSH_SIZE_BYTES) this.flush();
    else this.scheduleFlush();
    return true;
  }

  /** Writes the buffered lines and resolves once the output has accepted them and earlier ones. */
  async close(): Promise<void> {
    const remainder = this.closeNow();
    if (remainder.length === 0 && this.output.writableLength === 0) return;
    await new Promise<void>((resolve) => {
      this.output.write(remainder, () => resolve());
    });
  }

  /** Accepts no more lines and returns those that were not yet passed to the output. */
  closeNow(): string {
    this.isClosed = true;
    if (this.flushTimer !== null) clearTimeout(this.flushTimer);
    return this.takeBuffer();
  }

  private scheduleFlush(): void {
    this.flushTimer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
    this.flushTimer.unref();
  }

  private flush(): void {
    if (this.flushTimer !== null) clearTimeout(this.flushTimer);
    this.flushTimer = null;
    if (this.isBlocked || this.lines.length === 0) return;
    const canAcceptMore = this.output.write(this.takeBuffer());
    if (canAcceptMore) return;
    this.isBlocked = true;
    this.output.once('drain', () => {
      this.isBlocked = false;
      this.flush();
    });
  }

  private takeBuffer(): string {
    const block = this.lines.join('');
    this.lines = [];
    this.bufferedLength = 0;
    return block;
  }
}
