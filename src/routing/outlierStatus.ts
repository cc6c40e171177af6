const CONSECUTIVE_FAILURES_LIMIT = 3;
const WINDOW_CALLS = 20;
const GOOD_TRIALS_TO_CLEAR = 3;
const TRIAL_INTERVAL_MS = 250;

/** Outlier detection for a target, and the times of its trial calls. */
export class OutlierStatus {
  private consecutiveFailures = 0;

  private readonly recentFailures: boolean[] = [];

  private goodTrials = 0;

  private lastTrialAt = Number.NEGATIVE_INFINITY;

  /** Latency as a multiple of the median, or 1 plus the failures; 0 when it is not an outlier. */
  severity = 0;

  /** Monotonic time of the last change of the status; calls that started earlier do not count. */
  changedAt = 0;

  get isOutlier(): boolean {
    return this.severity > 0;
  }

  /** Marks the target as an outlier; the most severe outliers are ejected first. */
  markOutlier(severity: number, now: number): void {
    if (this.severity === 0) {
      this.changedAt = now;
      this.goodTrials = 0;
    }
    this.severity = Math.max(this.severity, severity);
  }

  /** Records the end of a call; returns true when it clears the outlier status. */
  recordCallEnd(success: boolean, startedAt: number, now: number): boolean {
    this.consecutiveFailures = success ? 0 : this.consecutiveFailures + 1;
    this.recentFailures.push(!success);
    if (this.recentFailures.length > WINDOW_CALLS) this.recentFailures.shift();
    if (this.isOutlier) return this.recordTrialEnd(success, startedAt, now);
    const failureCount = this.recentFailures.reduce((sum, failed) => sum + Number(failed), 0);
    if (this.consecutiveFailures >= CONSECUTIVE_FAILURES_LIMIT || failureCount > WINDOW_CALLS / 2) {
      this.markOutlier(1 + failureCount, now);
    }
    return false;
  }

  /** True when the next trial call may be sent to the ejected target. */
  isTrialDue(now: number): boolean {
    return now - this.lastTrialAt >= TRIAL_INTERVAL_MS;
  }

  recordTrial(now: number): void {
    this.lastTrialAt = now;
  }

  clear(now: number): void {
    this.severity = 0;
    this.changedAt = now;
    this.goodTrials = 0;
    this.consecutiveFailures = 0;
    this.recentFailures.length = 0;
  }

  private recordTrialEnd(success: boolean, startedAt: number, now: number): boolean {
    if (startedAt < this.changedAt) return false;
    this.goodTrials = success ? this.goodTrials + 1 : 0;
    if (this.goodTrials < GOOD_TRIALS_TO_CLEAR) return false;
    this.clear(now);
    return true;
  }
}
