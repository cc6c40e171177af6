const INTERVAL_MS = 5;
// Shorter gaps are those of a process that shares its processor.
const MIN_HOLD_UP_MS = 20;

interface HoldUp {
  readonly from: number;
  readonly to: number;
}

/** Records when the test process, with its stand-ins of servers, was held up. */
export class HoldUps {
  private readonly holdUps: HoldUp[] = [];

  private lastRunAt = Date.now();

  private readonly timer = setInterval(() => {
    const now = Date.now();
    if (now - this.lastRunAt >= MIN_HOLD_UP_MS)
      this.holdUps.push({ from: this.lastRunAt, to: now });
    this.lastRunAt = now;
  }, INTERVAL_MS);

  /** The time between two Unix times for which the process was held up, in milliseconds. */
  between(from: number, to: number): number {
    const overlaps = this.holdUps.map((holdUp) =>
      Math.max(0, Math.min(to, holdUp.to) - Math.max(from, holdUp.from)),
    );
    return overlaps.reduce((sum, overlap) => sum + overlap, 0);
  }

  close(): void {
    clearInterval(this.timer);
  }
}
