import { type Target } from '../../src/catalog';
import { type Random } from '../../src/runtime';

import { type ModelService } from './modelOptions';

/** How a modelled call ended at its target. */
export type ModelEnd = 'done' | 'failed' | 'reset' | 'refused' | 'aborted';

/** A call at a modelled target. */
export interface ModelJob {
  leftMs: number;
  readonly onEnd: (end: ModelEnd) => void;
}

// Time at a target that fails a call without working on it.
const FAILURE_MS = 5;

/** A target with slots, a queue, a pace that changes, and what it does when it is full. */
export class ModelTarget {
  /** Most calls that worked at the same time. */
  mostRunning = 0;

  /** Calls that were reset or refused since the target was full. */
  turnedAway = 0;

  /** Calls that had to wait for a slot. */
  queued = 0;

  /** How the target ends half of its calls at once; null when it works. */
  greyness: 'failed' | 'refused' | null = null;

  /** Slower by this factor, beside the noise. */
  slowFactor = 1;

  private running: ModelJob[] = [];

  private readonly waiting: ModelJob[] = [];

  private noiseFactor = 1;

  // Targets do not change their pace at the same time.
  private nextNoise: number;

  constructor(
    readonly target: Target,
    private readonly service: ModelService,
    private readonly random: Random,
  ) {
    this.nextNoise = -random.next() * service.noise.everyMs;
  }

  /** Time that work takes now, in percent of the usual. */
  pace(): number {
    return Math.round(100 * this.noiseFactor * this.slowFactor);
  }

  load(): { readonly running: number; readonly waiting: number } {
    return { running: this.running.length, waiting: this.waiting.length };
  }

  /** Takes a call, or turns it away. */
  take(job: ModelJob): void {
    const { greyness } = this;
    if (greyness !== null && this.random.next() < 0.5) {
      const { onEnd } = job;
      this.start({ leftMs: FAILURE_MS, onEnd: () => onEnd(greyness) });
      return;
    }
    if (this.running.length < this.service.slots) this.start(job);
    else if (this.waiting.length < this.service.queue) {
      this.queued += 1;
      this.waiting.push(job);
    } else {
      this.turnedAway += 1;
      job.onEnd(this.service.whenFull === 'reset' ? 'reset' : 'refused');
    }
  }

  /** Drops a call whose connection was closed. */
  drop(job: ModelJob): void {
    this.running = this.running.filter((other) => other !== job);
    const index = this.waiting.indexOf(job);
    if (index >= 0) this.waiting.splice(index, 1);
    this.fill();
  }

  /** Works for some milliseconds up to `now`. */
  work(now: number, milliseconds: number): void {
    const { noise, kneeShare, kneeFactor, slots } = this.service;
    if (now >= this.nextNoise) {
      this.nextNoise += noise.everyMs;
      this.noiseFactor = this.random.next() < noise.share ? noise.factor : 1;
    }
    const knee = this.running.length > kneeShare * slots ? kneeFactor : 1;
    const done = milliseconds / (this.noiseFactor * this.slowFactor * knee);
    for (const job of this.running) job.leftMs -= done;
    const ended = this.running.filter((job) => job.leftMs <= 0);
    if (ended.length === 0) return;
    this.running = this.running.filter((job) => job.leftMs > 0);
    this.fill();
    for (const job of ended) job.onEnd('done');
  }

  private fill(): void {
    while (this.running.length < this.service.slots && this.waiting.length > 0) {
      this.start(this.waiting.shift()!);
    }
  }

  private start(job: ModelJob): void {
    this.running.push(job);
    this.mostRunning = Math.max(this.mostRunning, this.running.length);
  }
}
