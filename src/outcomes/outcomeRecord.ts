import { type OutcomeKind } from './outcomeKind';
import { type OutcomeObserver } from './outcomeObserver';

/** Tracks one call and reports its outcome and violations of the rules to an observer. */
export class OutcomeRecord {
  private kind: OutcomeKind | null = null;

  private openSends = 0;

  constructor(
    private readonly observer: OutcomeObserver,
    private readonly isIdempotent: boolean,
  ) {}

  /** The outcome; null while the call is in progress. */
  get outcome(): OutcomeKind | null {
    return this.kind;
  }

  /** Records that the first byte is about to be sent; false if the call must not be sent again. */
  beginSend(): boolean {
    if (!this.isIdempotent && this.openSends > 0) {
      this.observer.recordViolation('second-send');
      return false;
    }
    this.openSends += 1;
    return true;
  }

  /** Records that the last transmission did not run, so that the call may be sent again. */
  recordNotRun(): void {
    if (this.openSends > 0) this.openSends -= 1;
  }

  /** Sets the outcome; a second outcome is a violation and is ignored. */
  end(kind: OutcomeKind): void {
    if (this.kind !== null) {
      this.observer.recordViolation('second-outcome');
      return;
    }
    this.kind = kind;
    this.observer.recordOutcome(kind);
  }
}
