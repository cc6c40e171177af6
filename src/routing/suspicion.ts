const FAILURES_IN_A_ROW = 3;
const WINDOW = 20;
const GOOD_TRIALS = 3;
const TRIAL_INTERVAL_MS = 250;

/** Whether a target is suspected, and when it may be given a trial call. */
export class Suspicion {
  private failuresInRow = 0;

  private readonly recent: boolean[] = [];

  private goodTrials = 0;

  private lastTrialAt = Number.NEGATIVE_INFINITY;

  /** How strongly the target is suspected; 0 when it is not. */
  degree = 0;

  /** Monotonic time since which the current judgement stands; older calls do not count. */
  since = 0;

  get active(): boolean {
    return this.degree > 0;
  }

  /** Suspects the target; the degree orders suspected targets. */
  raise(degree: number, now: number): void {
    if (this.degree === 0) {
      this.since = now;
      this.goodTrials = 0;
    }
    this.degree = Math.max(this.degree, degree);
  }

  /** Counts the end of a call; returns true when its success ended the suspicion. */
  ended(success: boolean, startedAt: number, now: number): boolean {
    this.failuresInRow = success ? 0 : this.failuresInRow + 1;
    this.recent.push(!success);
    if (this.recent.length > WINDOW) this.recent.shift();
    if (this.active) return this.trialEnded(success, startedAt, now);
    const failures = this.recent.reduce((sum, failed) => sum + Number(failed), 0);
    if (this.failuresInRow >= FAILURES_IN_A_ROW || failures > WINDOW / 2) {
      this.raise(1 + failures, now);
    }
    return false;
  }

  /** True when a trial call may be sent to a suspected target. */
  trialIsDue(now: number): boolean {
    return now - this.lastTrialAt >= TRIAL_INTERVAL_MS;
  }

  trialStarted(now: number): void {
    this.lastTrialAt = now;
  }

  clear(now: number): void {
    this.degree = 0;
    this.since = now;
    this.goodTrials = 0;
    this.failuresInRow = 0;
    this.recent.length = 0;
  }

  private trialEnded(success: boolean, startedAt: number, now: number): boolean {
    if (startedAt < this.since) return false;
    this.goodTrials = success ? this.goodTrials + 1 : 0;
    if (this.goodTrials < GOOD_TRIALS) return false;
    this.clear(now);
    return true;
  }
}
