import { type Clock, type Timer } from '../runtime';

import { bufferAnswer } from './bufferAnswer';
import { type Call } from './call';
import { canBeSent } from './callBody';
import { Cancellation } from './cancellation';
import { type Placed } from './placed';
import { PlacementState } from './placementState';
import { type PlacementCause, type Placer } from './placer';
import { type ServiceHistory } from './serviceHistory';

/** What a repeatable run needs of this host. */
export interface RepeatContext {
  readonly placer: Placer;
  readonly clock: Clock;
  readonly history: ServiceHistory;
  /** False when the service has no other target. */
  readonly mayHedge: boolean;
  readonly takeRepeat: (call: Call) => boolean;
  readonly repeated: (cause: PlacementCause) => void;
}

const LARGEST_REPEATS = 2;
const FIRST_SERVER_ERROR = 500;

function isGood(placed: Placed): boolean {
  return placed.ok && placed.val.status < FIRST_SERVER_ERROR;
}

/** Of two results without a good answer: an answer goes before an unknown outcome or a refusal. */
function preferred(left: Placed | null, right: Placed): Placed {
  if (left === null || (right.ok && left.err)) return right;
  if (left.ok || right.ok) return left;
  return right.val.outcome.kind === 'outcome-unknown' ? right : left;
}

/**
 * One run of an idempotent call: a failed attempt is retried, a slow one is hedged, and the first
 * good answer wins. The losing attempt is cancelled at its target.
 */
export class RepeatableRun {
  private readonly state = new PlacementState();

  private readonly running = new Set<Cancellation>();

  private readonly startedAt: number;

  private hedgeTimer: Timer | null = null;

  private repeats = 0;

  private fallback: Placed | null = null;

  private resolve: ((placed: Placed) => void) | null = null;

  private readonly onCallerGone = () => this.cancelRunning();

  constructor(
    private readonly call: Call,
    private readonly context: RepeatContext,
  ) {
    this.startedAt = context.clock.now();
  }

  run(): Promise<Placed> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.call.cancellation.add(this.onCallerGone);
      this.launch('first');
      this.armHedge();
    });
  }

  private armHedge(): void {
    const after = this.context.history.answerTimes.hedgeAfter();
    if (after === null || !this.context.mayHedge) return;
    const at = this.startedAt + after;
    if (at >= this.call.traits.deadline) return;
    this.hedgeTimer = this.context.clock.setTimer(at, () => this.repeat('hedge'));
  }

  private launch(cause: PlacementCause): void {
    const cancellation = new Cancellation();
    this.running.add(cancellation);
    const attempt = { ...this.call, cancellation };
    void this.context.placer
      .place(attempt, this.state, cause)
      .then((placed) => this.settle(cancellation, placed));
  }

  private repeat(cause: PlacementCause): boolean {
    if (this.resolve === null || this.repeats >= LARGEST_REPEATS) return false;
    if (this.call.cancellation.cancelled || !canBeSent(this.call.body)) return false;
    if (this.context.clock.now() >= this.call.traits.deadline) return false;
    if (!this.context.takeRepeat(this.call)) return false;
    this.repeats += 1;
    this.context.repeated(cause);
    this.launch(cause);
    return true;
  }

  private settle(cancellation: Cancellation, placed: Placed): void {
    this.running.delete(cancellation);
    if (this.resolve === null) {
      if (placed.ok) placed.val.cancel();
      return;
    }
    if (isGood(placed)) {
      this.context.history.answerTimes.add(this.context.clock.now() - this.startedAt);
      this.finish(placed);
      return;
    }
    this.keep(placed);
    const worthRetry = placed.ok || placed.val.outcome.kind === 'outcome-unknown';
    if (worthRetry && this.repeat('retry')) return;
    if (this.running.size === 0) this.finish(this.fallback!);
  }

  /** Keeps the best of the results so far; an answer is buffered, which frees its slot. */
  private keep(placed: Placed): void {
    if (placed.ok && placed.val.target !== '') this.state.avoid.add(placed.val.target);
    if (placed.err && placed.val.target !== null) this.state.avoid.add(placed.val.target);
    const better = preferred(this.fallback, placed);
    if (better !== placed) {
      if (placed.ok) placed.val.cancel();
      return;
    }
    this.fallback = placed.map(bufferAnswer);
  }

  private finish(placed: Placed): void {
    const { resolve } = this;
    this.resolve = null;
    this.hedgeTimer?.cancel();
    this.call.cancellation.remove(this.onCallerGone);
    this.cancelRunning();
    this.linkWinner(placed);
    resolve?.(placed);
  }

  /** The caller's cancellation still reaches the attempt whose answer is passed on. */
  private linkWinner(placed: Placed): void {
    if (placed.ok) this.call.cancellation.add(() => placed.val.cancel());
    if (this.fallback !== null && this.fallback !== placed && this.fallback.ok) {
      this.fallback.val.cancel();
    }
  }

  private cancelRunning(): void {
    for (const cancellation of this.running) cancellation.cancel();
  }
}
