import { type Writable } from 'node:stream';

// About 10 s of decisions at 3,000 calls/s and 250 bytes a line.
const DEFAULT_CAPACITY_BYTES = 8 * 1024 * 1024;
const FLUSH_INTERVAL_MS = 50;
const FLUSH_SIZE_BYTES = 64 * 1024;

/**
 * Collects log lines and writes them in large blocks, so that a call never waits for the log.
 * Lines that do not fit while the output is blocked are dropped and counted.
 */
export class BufferedWriter {
  private lines: string[] = [];

  private size = 0;

  private dropped = 0;

  private blocked = false;

  private closed = false;

  private flushTimer: NodeJS.Timeout | null = null;

  constructor(
    private readonly output: Writable,
    private readonly capacity: number = DEFAULT_CAPACITY_BYTES,
  ) {}

  /** Number of lines dropped since the start. */
  droppedLines(): number {
    return this.dropped;
  }

  /** Accepts one line including its newline; bunyan calls this for each record. */
  write(line: string): boolean {
    if (this.closed || this.size + line.length > this.capacity) {
      this.dropped += 1;
      return true;
    }
    this.lines.push(line);
    this.size += line.length;
    if (this.size >= FLUSH_SIZE_BYTES) this.flush();
    else this.scheduleFlush();
    return true;
  }

  /** Writes out what is buffered and waits until the output took it. */
  async close(): Promise<void> {
    this.closed = true;
    if (this.flushTimer !== null) clearTimeout(this.flushTimer);
    const rest = this.takeBuffer();
    if (rest.length === 0) return;
    await new Promise<void>((resolve) => {
      this.output.write(rest, () => resolve());
    });
  }

  private scheduleFlush(): void {
    this.flushTimer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
    this.flushTimer.unref();
  }

  private flush(): void {
    if (this.flushTimer !== null) clearTimeout(this.flushTimer);
    this.flushTimer = null;
    if (this.blocked || this.lines.length === 0) return;
    const accepted = this.output.write(this.takeBuffer());
    if (accepted) return;
    this.blocked = true;
    this.output.once('drain', () => {
      this.blocked = false;
      this.flush();
    });
  }

  private takeBuffer(): string {
    const block = this.lines.join('');
    this.lines = [];
    this.size = 0;
    return block;
  }
}
