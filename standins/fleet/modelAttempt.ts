import { type Target } from '../../src/catalog';
import { type IncomingCall, type RunningAttempt } from '../../src/delivery';
import { type Clock } from '../../src/runtime';

import { type ModelEnd, type ModelJob, type ModelTarget } from './modelTarget';

/** Dependencies of a modelled attempt. */
export interface ModelAttemptParts {
  readonly clock: Clock;
  readonly model: ModelTarget;
  /** One-way network delay to the target. */
  readonly oneWayDelayMs: number;
  readonly workMs: number;
  /** Whether the host can still send. */
  readonly maySend: () => boolean;
  /** Called when the call has reached the target. */
  readonly onArrival: () => void;
  readonly onEnd: (kind: ModelEnd) => void;
}

/** An attempt at a modelled target. */
export class ModelAttempt implements RunningAttempt {
  sentAt: number | null = null;

  private hasEnded = false;

  private readonly job: ModelJob;

  constructor(
    readonly call: IncomingCall,
    readonly target: Target,
    private readonly parts: ModelAttemptParts,
  ) {
    this.job = { leftMs: parts.workMs, onEnd: (kind) => this.afterDelay(() => this.end(kind)) };
  }

  start(): void {
    if (!this.parts.maySend()) return;
    this.sentAt = this.parts.clock.now();
    this.afterDelay(() => {
      if (this.hasEnded) return;
      const now = this.parts.clock.now();
      this.parts.onArrival();
      this.parts.model.recordArrival(now);
      this.parts.model.accept(this.job, now);
    });
  }

  abort(): void {
    if (this.hasEnded) return;
    this.parts.model.cancel(this.job);
    this.end('aborted');
  }

  private end(kind: ModelEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.parts.onEnd(kind);
  }

  private afterDelay(run: () => void): void {
    const { clock, oneWayDelayMs } = this.parts;
    clock.setTimer(clock.now() + oneWayDelayMs, run);
  }
}
