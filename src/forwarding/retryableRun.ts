import { type Clock, type Timer } from '../runtime';

import { bufferAnswer } from './bufferAnswer';
import { type Call } from './call';
import { canBeSent } from './callBody';
import { Cancellation } from './cancellation';
import { type PlacementResult } from './placementResult';
import { PlacementState } from './placementState';
import { type PlacementCause, type Placer } from './placer';
import { type ServiceHistory } from './serviceHistory';

/** Dependencies of a `RetryableRun`. */
export interface RetryContext {
  readonly placer: Placer;
  readonly clock: Clock;
  readonly history: ServiceHistory;
  /** False when the service has no other target. */
  readonly mayHedge: boolean;
  readonly acquireExtraAttempt: (call: Call) => boolean;
  readonly countExtraAttempt: (cause: PlacementCause) => void;
}

const MAX_EXTRA_ATTEMPTS = 2;
// A hedge after this share of the time limit leaves the second target as much time as the first one had.
const LATEST_HEDGE_SHARE = 1 / 2;
const FIRST_SERVER_ERROR = 500;

function isSuccessful(result: PlacementResult): boolean {
  return result.ok && result.val.status < FIRST_SERVER_ERROR;
}

/** Chooses between unsuccessful results: an answer, then an unknown outcome, then a refusal. */
function preferredResult(left: PlacementResult | null, right: PlacementResult): PlacementResult {
  if (left === null || (right.ok && left.err)) return right;
  if (left.ok || right.ok) return left;
  return right.val.outcome.kind === 'outcome-unknown' ? right : left;
}

/**
 * Runs an idempotent call: retries a failed attempt, hedges a slow one, and returns the first
 * successful answer. The other attempt is cancelled at its target.
 */
export class RetryableRun {
  private readonly state = new PlacementState();

  private readonly runningAttempts = new Set<Cancellation>();

  private readonly startedAt: number;

  private hedgeTimer: Timer | null = null;

  private extraAttempts = 0;

  private fallback: PlacementResult | null = null;

  private resolve: ((result: PlacementResult) => void) | null = null;

  private readonly onCallerCancelled = () => this.cancelRunning();

  constructor(
    private readonly call: Call,
    private readonly context: RetryContext,
  ) {
    this.startedAt = context.clock.now();
  }

  run(): Promise<PlacementResult> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.call.cancellation.addListener(this.onCallerCancelled);
      this.startAttempt('first');
      this.scheduleHedge();
    });
  }

  private scheduleHedge(): void {
    if (!this.context.mayHedge) return;
    const latestDelayMs = (this.call.traits.deadline - this.startedAt) * LATEST_HEDGE_SHARE;
    const delayMs = this.context.history.answerTimes.hedgeDelayMs() ?? Infinity;
    const at = this.startedAt + Math.min(delayMs, latestDelayMs);
    this.hedgeTimer = this.context.clock.setTimer(at, () => this.startExtraAttempt('hedge'));
  }

  private startAttempt(cause: PlacementCause): void {
    const cancellation = new Cancellation();
    this.runningAttempts.add(cancellation);
    const attempt = { ...this.call, cancellation };
    void this.context.placer
      .place(attempt, this.state, cause)
      .then((result) => this.onAttemptEnd(cancellation, result));
  }

  private startExtraAttempt(cause: PlacementCause): boolean {
    if (this.resolve === null || this.extraAttempts >= MAX_EXTRA_ATTEMPTS) return false;
    if (this.call.cancellation.isCancelled || !canBeSent(this.call.body)) return false;
    if (this.context.clock.now() >= this.call.traits.deadline) return false;
    if (!this.context.acquireExtraAttempt(this.call)) return false;
    this.extraAttempts += 1;
    this.context.countExtraAttempt(cause);
    this.startAttempt(cause);
    return true;
  }

  private onAttemptEnd(cancellation: Cancellation, result: PlacementResult): void {
    this.runningAttempts.delete(cancellation);
    if (this.resolve === null) {
      if (result.ok) result.val.cancel();
      return;
    }
    if (isSuccessful(result)) {
      this.context.history.answerTimes.add(this.context.clock.now() - this.startedAt);
      this.finish(result);
      return;
    }
    this.updateFallback(result);
    const isRetryable = result.ok || result.val.outcome.kind === 'outcome-unknown';
    if (isRetryable && this.startExtraAttempt('retry')) return;
    if (this.runningAttempts.size === 0) this.finish(this.fallback!);
  }

  /** Keeps the best unsuccessful result; its answer is buffered, which frees the slot. */
  private updateFallback(result: PlacementResult): void {
    if (result.ok && result.val.target !== '') this.state.avoidedTargets.add(result.val.target);
    if (result.err && result.val.target !== null) this.state.avoidedTargets.add(result.val.target);
    const best = preferredResult(this.fallback, result);
    if (best !== result) {
      if (result.ok) result.val.cancel();
      return;
    }
    this.fallback = result.map(bufferAnswer);
  }

  private finish(result: PlacementResult): void {
    const { resolve } = this;
    this.resolve = null;
    this.hedgeTimer?.cancel();
    this.call.cancellation.removeListener(this.onCallerCancelled);
    this.cancelRunning();
    this.linkCancellation(result);
    resolve?.(result);
  }

  /** Lets a cancellation by the caller reach the attempt whose answer is returned. */
  private linkCancellation(result: PlacementResult): void {
    if (result.ok) this.call.cancellation.addListener(() => result.val.cancel());
    if (this.fallback !== null && this.fallback !== result && this.fallback.ok) {
      this.fallback.val.cancel();
    }
  }

  private cancelRunning(): void {
    for (const cancellation of this.runningAttempts) cancellation.cancel();
  }
}
