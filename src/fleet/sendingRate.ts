import { type Clock, waitUntil } from '../runtime';

// A whole sheet at the target size is about 150 KB compressed and must arrive within 5 s.
const BYTES_PER_MS = 64;
const BURST_MS = 500;

/** Limits the rate at which a host sends sheets, over all requests together. */
export class SendingRate {
  private freeAt: number;

  constructor(private readonly clock: Clock) {
    this.freeAt = clock.now() - BURST_MS;
  }

  /** Resolves when `bytes` more may be sent. */
  async take(bytes: number): Promise<void> {
    const now = this.clock.now();
    const start = Math.max(this.freeAt, now - BURST_MS);
    this.freeAt = start + bytes / BYTES_PER_MS;
    if (this.freeAt > now) await waitUntil(this.clock, this.freeAt);
  }
}
