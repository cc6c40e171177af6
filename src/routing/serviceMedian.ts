// Longer than the time between two relays from any entry that sends calls at all.
const REPORT_LIFETIME_MS = 10_000;
const REFRESH_MS = 50;

interface Report {
  readonly medianMs: number;
  readonly at: number;
}

/** Median of the usual answer times of a service, from own targets and the reports of others. */
export class ServiceMedian {
  private readonly reports = new Map<string, Report>();

  private cached = 0;

  private cachedAt = Number.NEGATIVE_INFINITY;

  /** Takes a median told by another host; 0 means that the host knows none. */
  report(hostId: string, medianMs: number, now: number): void {
    if (medianMs > 0) this.reports.set(hostId, { medianMs, at: now });
  }

  /** The median in milliseconds, 0 when nothing is known; computed at most every 50 ms. */
  value(own: () => readonly number[], now: number): number {
    if (now - this.cachedAt < REFRESH_MS) return this.cached;
    const values = own().filter((value) => value > 0);
    for (const [hostId, { medianMs, at }] of this.reports) {
      if (now - at > REPORT_LIFETIME_MS) this.reports.delete(hostId);
      else values.push(medianMs);
    }
    values.sort((left, right) => left - right);
    // The lower of two middle values, so that one slow target of two does not raise the median.
    this.cached = values[Math.floor((values.length - 1) / 2)] ?? 0;
    this.cachedAt = values.length === 0 ? Number.NEGATIVE_INFINITY : now;
    return this.cached;
  }
}
