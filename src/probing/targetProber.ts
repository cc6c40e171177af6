import { waitUntil } from '../runtime';

import { type ProbeContext } from './probeContext';

const MS_PER_SECOND = 1000;
const INFORMATION_LIFETIME_MS = 1000;
const PROBE_LIMIT_MS = 1000;
// A target that may not be probed now, for example past the view deadline, is looked at again.
const RECHECK_MS = 250;
// Spreads the probes of targets that became owned at the same time.
const JITTER = 0.1;

/** Probes one owned target while its calls give no information. */
export class TargetProber {
  private readonly closing = new AbortController();

  /**
   * Start of the last probe. An earlier owner may have probed until this host took over, so the
   * first probe waits a whole interval too.
   */
  private lastProbeAt: number;

  private readonly done: Promise<void>;

  constructor(
    private readonly targetId: string,
    private readonly context: ProbeContext,
  ) {
    const usableFrom = context.fleet.view()?.owned.get(targetId)?.usableFrom ?? 0;
    this.lastProbeAt = Math.max(context.clock.now(), usableFrom);
    this.done = this.run();
  }

  /** Ends the probing; a running probe is cancelled. */
  async close(): Promise<void> {
    this.closing.abort();
    await this.done;
  }

  private async run(): Promise<void> {
    const { signal } = this.closing;
    while (!signal.aborted) {
      const now = this.context.clock.now();
      const due = this.dueAt();
      if (due <= now && this.mayProbe(now)) await this.probe(now);
      else await waitUntil(this.context.clock, Math.max(due, now + RECHECK_MS), signal);
    }
  }

  private budget(): number {
    const view = this.context.fleet.view();
    const service = view?.owned.get(this.targetId)?.target.service;
    if (view === null || view === undefined || service === undefined) return 0;
    return view.sheet.services.get(service)?.probes_per_second ?? 0;
  }

  private dueAt(): number {
    const budget = this.budget();
    const state = this.context.router.ownedTarget(this.targetId);
    if (budget === 0 || state === undefined) return 0;
    const interval = (MS_PER_SECOND / budget) * (1 + JITTER * this.context.random.next());
    return Math.max(this.lastProbeAt + interval, state.lastObservedAt + INFORMATION_LIFETIME_MS);
  }

  private mayProbe(now: number): boolean {
    const owned = this.context.fleet.view()?.owned.get(this.targetId);
    if (owned === undefined || !owned.inService || now < owned.usableFrom) return false;
    return this.budget() > 0 && this.context.router.viewIsCurrent();
  }

  private async probe(now: number): Promise<void> {
    const { fleet, clock, transport, router } = this.context;
    const owned = fleet.view()?.owned.get(this.targetId);
    if (owned === undefined) return;
    this.lastProbeAt = now;
    const limit = new AbortController();
    const until = Math.min(now + PROBE_LIMIT_MS, fleet.viewDeadline());
    const timer = clock.setTimer(until, () => limit.abort());
    const signal = AbortSignal.any([limit.signal, this.closing.signal]);
    const answer = await transport.probe(owned.target, signal);
    timer.cancel();
    if (this.closing.signal.aborted || !router.viewIsCurrent()) return;
    router.applyProbe(this.targetId, answer);
  }
}
