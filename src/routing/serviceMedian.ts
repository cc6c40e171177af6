// Longer than the interval between relayed calls from any host that sends calls at all.
const REPORT_LIFETIME_MS = 10_000;
const REFRESH_MS = 50;

interface Report {
  readonly medianMs: number;
  readonly reportedAt: number;
}

/** Median of the average answer times of own targets and of the medians of other hosts. */
export class ServiceMedian {
  private readonly reports = new Map<string, Report>();

  private cached = 0;

  private cachedAt = Number.NEGATIVE_INFINITY;

  /** Applies the median of another host; 0 means that the host has none. */
  apply(hostId: string, medianMs: number, now: number): void {
    if (medianMs > 0) this.reports.set(hostId, { medianMs, reportedAt: now });
  }

  /** The median in milliseconds, 0 without values; cached for 50 ms. */
  value(ownTimes: () => readonly number[], now: number): number {
    if (now - this.cachedAt < REFRESH_MS) return this.cached;
    const values = ownTimes().filter((value) => value > 0);
    for (const [hostId, { medianMs, reportedAt }] of this.reports) {
      if (now - reportedAt > REPORT_LIFETIME_MS) this.reports.delete(hostId);
      else values.push(medianMs);
    }
    values.sort((left, right) => left - right);
    // The lower of two middle values: one slow target of two does not raise the median.
    this.cached = values[Math.floor((values.length - 1) / 2)] ?? 0;
    this.cachedAt = values.length === 0 ? Number.NEGATIVE_INFINITY : now;
    return this.cached;
  }
}
