import { waitUntil } from '../runtime';

import { type ProbeContext } from './probeContext';

const MS_PER_SECOND = 1000;
const OBSERVATION_LIFETIME_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
// Interval for rechecking a target that may not be probed now, such as past the view deadline.
const RECHECK_MS = 250;
// Spreads the probes of targets that this host began to own at the same time.
const JITTER_SHARE = 0.1;

/** Probes an owned target while no calls show its state. */
export class TargetProber {
  private readonly closing = new AbortController();

  /**
   * Monotonic time of the last probe. It starts as the time of the takeover, because the previous
   * owner may have probed until then: the first probe also waits for a whole interval.
   */
  private lastProbeAt: number;

  private readonly finished: Promise<void>;

  constructor(
    private readonly targetId: string,
    private readonly context: ProbeContext,
  ) {
    const usableFrom = context.fleet.view()?.owned.get(targetId)?.usableFrom ?? 0;
    this.lastProbeAt = Math.max(context.clock.now(), usableFrom);
    this.finished = this.run();
  }

  /** Stops probing and cancels a running probe. */
  async close(): Promise<void> {
    this.closing.abort();
    await this.finished;
  }

  private async run(): Promise<void> {
    const { signal } = this.closing;
    while (!signal.aborted) {
      const now = this.context.clock.now();
      const nextProbeAt = this.nextProbeAt();
      if (nextProbeAt <= now && this.mayProbe(now)) await this.probe(now);
      else await waitUntil(this.context.clock, Math.max(nextProbeAt, now + RECHECK_MS), signal);
    }
  }

  private probesPerSecond(): number {
    const view = this.context.fleet.view();
    const service = view?.owned.get(this.targetId)?.target.service;
    if (view === null || view === undefined || service === undefined) return 0;
    return view.sheet.services.get(service)?.probes_per_second ?? 0;
  }

  private nextProbeAt(): number {
    const probesPerSecond = this.probesPerSecond();
    const state = this.context.router.ownedTarget(this.targetId);
    if (probesPerSecond === 0 || state === undefined) return 0;
    const interval =
      (MS_PER_SECOND / probesPerSecond) * (1 + JITTER_SHARE * this.context.random.next());
    return Math.max(this.lastProbeAt + interval, state.lastObservedAt + OBSERVATION_LIFETIME_MS);
  }

  private mayProbe(now: number): boolean {
    const owned = this.context.fleet.view()?.owned.get(this.targetId);
    if (owned === undefined || !owned.inService || now < owned.usableFrom) return false;
    return this.probesPerSecond() > 0 && this.context.router.viewIsCurrent();
  }

  private async probe(now: number): Promise<void> {
    const { fleet, clock, transport, router } = this.context;
    const owned = fleet.view()?.owned.get(this.targetId);
    if (owned === undefined) return;
    this.lastProbeAt = now;
    const timeout = new AbortController();
    const until = Math.min(now + PROBE_TIMEOUT_MS, fleet.viewDeadline());
    const timer = clock.setTimer(until, () => timeout.abort());
    const signal = AbortSignal.any([timeout.signal, this.closing.signal]);
    const answer = await transport.probe(owned.target, signal);
    timer.cancel();
    if (this.closing.signal.aborted || !router.viewIsCurrent()) return;
    router.applyProbe(this.targetId, answer);
  }
}
