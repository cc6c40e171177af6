import { MemoryShare } from './memoryShare';

/** Bounds the bytes that all calls hold together. */
export class MemoryAccount {
  private used = 0;

  constructor(private readonly limitBytes: number) {}

  /** Opens a share, which is empty. */
  open(): MemoryShare {
    return new MemoryShare(this);
  }

  /** Whether `bytes` more stay within the limit. */
  hasRoom(bytes: number): boolean {
    return this.used + bytes <= this.limitBytes;
  }

  /** Adds `bytes`, or takes them off if they are negative. */
  change(bytes: number): void {
    this.used += bytes;
  }
}
