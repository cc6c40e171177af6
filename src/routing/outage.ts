const TRIAL_INTERVAL_MS = 250;
const FAILURES_UNTIL_DOWN = 3;

/** Whether the connections of a target fail; it is then tried by one call or probe at a time. */
export class Outage {
  private failures = 0;

  private lastFailureAt = Number.NEGATIVE_INFINITY;

  private lastTrialAt = Number.NEGATIVE_INFINITY;

  get active(): boolean {
    return this.failures > 0;
  }

  /** True when repeated attempts failed, so that calls are better refused than queued. */
  get confirmed(): boolean {
    return this.failures >= FAILURES_UNTIL_DOWN;
  }

  /** Counts a failure; calls begun before the last one broke together with it. */
  failed(startedAt: number, now: number): void {
    if (this.active && startedAt <= this.lastFailureAt) return;
    this.failures += 1;
    this.lastFailureAt = now;
  }

  trialIsDue(now: number): boolean {
    return now - this.lastTrialAt >= TRIAL_INTERVAL_MS;
  }

  trialStarted(now: number): void {
    this.lastTrialAt = now;
  }

  /** Ends the outage; returns true when there was one. */
  end(): boolean {
    const was = this.active;
    this.failures = 0;
    return was;
  }
}
