import { type InheritedState } from '../fleet';

const GOOD_ANSWERS_PER_STEP = 10;
const MIN_STEP_MS = 200;

type Phase = 'cold' | 'ramp' | 'warm';

/** The concurrency limit of a target: cold, then rising step by step, then warm. */
export class WarmUp {
  private phase: Phase = 'cold';

  private slots = 1;

  private coldLimit = 1;

  private coldMs = 0;

  private goodAnswers = 0;

  private stepStartedAt = 0;

  /** Maximum number of concurrent calls at the target. */
  limit = 1;

  /** Earliest monotonic time at which the cold phase ends. */
  coldUntil = 0;

  /** Applies the settings of the sheet; the limit shrinks at once but grows only step by step. */
  configure(slots: number, coldLimit: number, coldMs: number): void {
    const hasGrown = slots > this.slots;
    this.slots = slots;
    this.coldLimit = Math.min(coldLimit, slots);
    this.coldMs = coldMs;
    this.limit = Math.min(this.limit, this.phase === 'cold' ? this.coldLimit : slots);
    if (this.phase === 'warm' && hasGrown) this.phase = 'ramp';
  }

  get isWarm(): boolean {
    return this.phase === 'warm';
  }

  turnCold(now: number): void {
    this.phase = 'cold';
    this.limit = this.coldLimit;
    this.coldUntil = now + this.coldMs;
    this.restartStep(now);
  }

  /** Continues from the state of the previous owner. */
  inherit(state: InheritedState, now: number): void {
    this.coldUntil = state.coldUntil;
    this.restartStep(now);
    if (state.coldUntil > now) {
      this.phase = 'cold';
      this.limit = this.coldLimit;
      return;
    }
    this.limit = Math.max(this.coldLimit, Math.min(state.limit, this.slots));
    this.phase = this.limit >= this.slots ? 'warm' : 'ramp';
  }

  /** Records an answer; `isGood` when it took at most twice the median of the service. */
  recordAnswer(isGood: boolean, now: number): void {
    if (this.phase === 'warm') return;
    if (!isGood) {
      // Only one good answer is taken back: answer times vary, and requiring ten consecutive good
      // answers often kept the limit of a healthy target from rising.
      this.goodAnswers = Math.max(0, this.goodAnswers - 1);
      return;
    }
    if (this.phase === 'cold') {
      if (now >= this.coldUntil) this.startRamp(now);
      return;
    }
    this.goodAnswers += 1;
    if (this.goodAnswers < GOOD_ANSWERS_PER_STEP || now - this.stepStartedAt < MIN_STEP_MS) return;
    this.limit += 1;
    this.restartStep(now);
    if (this.limit >= this.slots) this.phase = 'warm';
  }

  private startRamp(now: number): void {
    this.phase = this.limit >= this.slots ? 'warm' : 'ramp';
    this.restartStep(now);
  }

  private restartStep(now: number): void {
    this.goodAnswers = 0;
    this.stepStartedAt = now;
  }
}
