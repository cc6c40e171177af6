import { type Target } from '../../src/catalog';
import { type IncomingCall, type RunningAttempt } from '../../src/delivery';
import { type Clock } from '../../src/runtime';

import { type ModelEnd, type ModelJob, type ModelTarget } from './modelTarget';

/** What a modelled attempt works with. */
export interface ModelAttemptParts {
  readonly clock: Clock;
  readonly model: ModelTarget;
  /** Milliseconds one way to the target. */
  readonly wayMs: number;
  readonly workMs: number;
  readonly onEnd: (kind: ModelEnd) => void;
}

/** An attempt whose target is modelled. */
export class ModelAttempt implements RunningAttempt {
  sentAt: number | null = null;

  private isOver = false;

  private readonly job: ModelJob;

  constructor(
    readonly call: IncomingCall,
    readonly target: Target,
    private readonly parts: ModelAttemptParts,
  ) {
    this.job = { leftMs: parts.workMs, onEnd: (kind) => this.after(() => this.end(kind)) };
  }

  start(): void {
    this.sentAt = this.parts.clock.now();
    this.after(() => {
      if (!this.isOver) this.parts.model.take(this.job);
    });
  }

  abort(): void {
    if (this.isOver) return;
    this.parts.model.drop(this.job);
    this.end('aborted');
  }

  private end(kind: ModelEnd): void {
    if (this.isOver) return;
    this.isOver = true;
    this.parts.onEnd(kind);
  }

  private after(run: () => void): void {
    const { clock, wayMs } = this.parts;
    clock.setTimer(clock.now() + wayMs, run);
  }
}
