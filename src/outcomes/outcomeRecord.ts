import { type OutcomeKind } from './outcomeKind';
import { type OutcomeObserver } from './outcomeObserver';

/** Follows one call and reports what must not happen to its recorder. */
export class OutcomeRecord {
  private kind: OutcomeKind | null = null;

  private openSends = 0;

  constructor(
    private readonly recorder: OutcomeObserver,
    private readonly idempotent: boolean,
  ) {}

  /** The outcome; null while the call runs. */
  get outcome(): OutcomeKind | null {
    return this.kind;
  }

  /** Notes that the call's first byte is about to leave; false when it must not be sent again. */
  beginSend(): boolean {
    if (!this.idempotent && this.openSends > 0) {
      this.recorder.violation('second-send');
      return false;
    }
    this.openSends += 1;
    return true;
  }

  /** Notes that the last transmission did not run, so that the call may be sent again. */
  sendDidNotRun(): void {
    if (this.openSends > 0) this.openSends -= 1;
  }

  /** Sets the outcome; a second one is a violation and changes nothing. */
  end(kind: OutcomeKind): void {
    if (this.kind !== null) {
      this.recorder.violation('second-outcome');
      return;
    }
    this.kind = kind;
    this.recorder.ended(kind);
  }
}
