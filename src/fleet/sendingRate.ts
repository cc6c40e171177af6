import { type Clock, waitUntil } from '../runtime';

// A whole sheet of the maximum planned size is about 150 KB compressed and must arrive within 5 s.
const BYTES_PER_MS = 64;
const BURST_MS = 500;

/** Limits the total rate at which a host sends sheets, over all requests. */
export class SendRateLimiter {
  private availableAt: number;

  constructor(private readonly clock: Clock) {
    this.availableAt = clock.now() - BURST_MS;
  }

  /** Resolves when another `bytes` bytes may be sent. */
  async acquire(bytes: number): Promise<void> {
    const now = this.clock.now();
    const start = Math.max(this.availableAt, now - BURST_MS);
    this.availableAt = start + bytes / BYTES_PER_MS;
    if (this.availableAt > now) await waitUntil(this.clock, this.availableAt);
  }
}
