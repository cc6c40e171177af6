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

const LIMIT_WINDOW_MS = 4000;
const LIMIT_GRACE_MS = 3000;
// Work of a call that a target in gray failure ends.
const FAILURE_MS = 5;

/** A target with slots, a bounded queue and a varying pace. */
export class ModelTarget {
  /** Highest number of calls that ran at the same time. */
  maxRunning = 0;

  /** Calls that were reset or refused because the target was full. */
  rejected = 0;

  /** Calls that waited for a slot. */
  queued = 0;

  /** How the target ends half of its calls during a gray failure; null when healthy. */
  greyFailure: 'failed' | 'refused' | null = null;

  /** Slowdown in addition to the noise. */
  slowFactor = 1;

  /** Calls per second that the target states to take; null without a limit. */
  statedLimit: number | null = null;

  /** Whether its answers say that it is leaving. */
  isLeaving = false;

  /** Time until which it turns all calls away and asks for none. */
  quietUntil = -Infinity;

  /** Largest number of calls within 4 s beyond 1.5 times the limit, from 3 s after it was stated. */
  maxCallsOverLimit = -Infinity;

  private limitedSince: number | null = null;

  private arrivals: number[] = [];

  private running: ModelJob[] = [];

  private readonly waiting: ModelJob[] = [];

  private noiseFactor = 1;

  /** Time of the last change of the noise. */
  pacedAt = -Infinity;

  // Starts at a random phase, so that targets do not change their pace at the same time.
  private nextNoiseAt: number;

  constructor(
    readonly target: Target,
    private readonly service: ModelService,
    private readonly random: Random,
  ) {
    this.nextNoiseAt = -random.next() * service.noise.everyMs;
  }

  /** Current latency in percent of the usual, without the slowdown beyond the knee. */
  pace(): number {
    return Math.round(100 * this.noiseFactor * this.slowFactor);
  }

  load(): { readonly running: number; readonly waiting: number } {
    return { running: this.running.length, waiting: this.waiting.length };
  }

  /** Time for which it wants no calls, as its refusals state; null when they state none. */
  quietMs(now: number): number | null {
    return this.quietUntil > now ? this.quietUntil - now : null;
  }

  /** Runs or queues a call, or rejects it when the queue is full or the target wants no calls. */
  accept(job: ModelJob, now: number): void {
    if (this.quietMs(now) !== null) {
      job.onEnd('refused');
      return;
    }
    const { greyFailure } = this;
    if (greyFailure !== null && this.random.next() < 0.5) {
      const { onEnd } = job;
      this.start({ leftMs: FAILURE_MS, onEnd: () => onEnd(greyFailure) });
      return;
    }
    if (this.running.length < this.service.slots) this.start(job);
    else if (this.waiting.length < this.service.queueLimit) {
      this.queued += 1;
      this.waiting.push(job);
    } else {
      this.rejected += 1;
      job.onEnd(this.service.whenFull === 'reset' ? 'reset' : 'refused');
    }
  }

  /** States a limit of calls, or none, from now on. */
  stateLimit(limit: number | null, now: number): void {
    if (limit === this.statedLimit) return;
    this.statedLimit = limit;
    this.limitedSince = limit === null ? null : now;
    this.arrivals = [];
  }

  /** Counts a call against the limit. */
  recordArrival(now: number): void {
    const { statedLimit, limitedSince } = this;
    if (statedLimit === null || now < limitedSince! + LIMIT_GRACE_MS) return;
    this.arrivals = [...this.arrivals.filter((at) => now - at < LIMIT_WINDOW_MS), now];
    const allowed = (1.5 * statedLimit * LIMIT_WINDOW_MS) / 1000;
    this.maxCallsOverLimit = Math.max(this.maxCallsOverLimit, this.arrivals.length - allowed);
  }

  /** Removes a call whose connection was closed. */
  cancel(job: ModelJob): void {
    this.running = this.running.filter((other) => other !== job);
    const index = this.waiting.indexOf(job);
    if (index >= 0) this.waiting.splice(index, 1);
    this.startWaiting();
  }

  /** Advances the running calls by `milliseconds` of time, up to `now`. */
  advance(now: number, milliseconds: number): void {
    const { noise, kneeShare, kneeFactor, slots } = this.service;
    if (now >= this.nextNoiseAt) {
      this.nextNoiseAt += noise.everyMs;
      const factor = this.random.next() < noise.share ? noise.factor : 1;
      if (factor !== this.noiseFactor) this.pacedAt = now;
      this.noiseFactor = factor;
    }
    const knee = this.running.length > kneeShare * slots ? kneeFactor : 1;
    const done = milliseconds / (this.noiseFactor * this.slowFactor * knee);
    for (const job of this.running) job.leftMs -= done;
    const ended = this.running.filter((job) => job.leftMs <= 0);
    if (ended.length === 0) return;
    this.running = this.running.filter((job) => job.leftMs > 0);
    this.startWaiting();
    for (const job of ended) job.onEnd('done');
  }

  private startWaiting(): void {
    while (this.running.length < this.service.slots && this.waiting.length > 0) {
      this.start(this.waiting.shift()!);
    }
  }

  private start(job: ModelJob): void {
    this.running.push(job);
    this.maxRunning = Math.max(this.maxRunning, this.running.length);
  }
}
