import { type InheritedState } from '../fleet';

const ANSWERS_PER_STEP = 10;
const STEP_MS = 200;

type Phase = 'cold' | 'ramp' | 'warm';

/** The limit of a target while it is cold, warms up, and is warm. */
export class ColdRamp {
  private phase: Phase = 'cold';

  private slots = 1;

  private coldLimit = 1;

  private coldMs = 0;

  private good = 0;

  private goodSince = 0;

  /** Calls that the target may run at the same time. */
  limit = 1;

  /** Monotonic time until which the target stays cold at least. */
  coldUntil = 0;

  /** Takes over the sheet's figures; the limit shrinks at once but grows only by the ramp. */
  configure(slots: number, coldLimit: number, coldMs: number): void {
    const grew = slots > this.slots;
    this.slots = slots;
    this.coldLimit = Math.min(coldLimit, slots);
    this.coldMs = coldMs;
    this.limit = Math.min(this.limit, this.phase === 'cold' ? this.coldLimit : slots);
    if (this.phase === 'warm' && grew) this.phase = 'ramp';
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

  /** Continues where the earlier owner was. */
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

  /** Counts an answer; `good` when it came within twice the median of the service. */
  answered(good: boolean, now: number): void {
    if (this.phase === 'warm') return;
    if (!good) {
      // Answer times scatter: with ten good answers in a row required, the limit of a healthy
      // target often stood still.
      this.good = Math.max(0, this.good - 1);
      return;
    }
    if (this.phase === 'cold') {
      if (now >= this.coldUntil) this.startRamp(now);
      return;
    }
    this.good += 1;
    if (this.good < ANSWERS_PER_STEP || now - this.goodSince < STEP_MS) return;
    this.limit += 1;
    this.restartStep(now);
    if (this.limit >= this.slots) this.phase = 'warm';
  }

  private startRamp(now: number): void {
    this.phase = this.limit >= this.slots ? 'warm' : 'ramp';
    this.restartStep(now);
  }

  private restartStep(now: number): void {
    this.good = 0;
    this.goodSince = now;
  }
}
