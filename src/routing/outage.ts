const TRIAL_INTERVAL_MS = 250;
const FAILURES_TO_CONFIRM = 3;

/** Connection failures of a target; while they last, it gets one trial call or probe at a time. */
export class Outage {
  private failures = 0;

  private lastFailureAt = Number.NEGATIVE_INFINITY;

  private lastTrialAt = Number.NEGATIVE_INFINITY;

  get isActive(): boolean {
    return this.failures > 0;
  }

  /** True after repeated failures; calls are then refused instead of queued. */
  get isConfirmed(): boolean {
    return this.failures >= FAILURES_TO_CONFIRM;
  }

  /** Records a failure; a call that started before the last failure counts as part of it. */
  recordFailure(startedAt: number, now: number): void {
    if (this.isActive && startedAt <= this.lastFailureAt) return;
    this.failures += 1;
    this.lastFailureAt = now;
  }

  isTrialDue(now: number): boolean {
    return now - this.lastTrialAt >= TRIAL_INTERVAL_MS;
  }

  recordTrial(now: number): void {
    this.lastTrialAt = now;
  }

  /** Ends the outage; returns true when there was one. */
  end(): boolean {
    const wasActive = this.isActive;
    this.failures = 0;
    return wasActive;
  }
}
