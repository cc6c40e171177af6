import { Agent, request } from 'undici';

import { type Arrival, scheduleArrivals } from './arrivals';
import { type CallOutcome, classifyAnswer } from './callOutcome';
import { LatencyRecorder } from './latencySummary';
import { type CallReport, type KindResult, type LoadResult } from './loadResult';
import { type CallKind, type LoadPlan } from './plan';

// This close to the next arrival the generator polls the clock instead of sleeping, since Node.js
// timers fire up to a millisecond late.
const POLL_WINDOW_MS = 3;

type Headers = Record<string, string>;

/** Outcomes and latency of the first attempt of each call; retries are not counted. */
interface Tally {
  readonly outcomes: Record<CallOutcome, number>;
  readonly latency: LatencyRecorder;
}

/** Open-loop load generator: sends on a fixed schedule without waiting for responses. */
export class LoadGenerator {
  private readonly agent = new Agent({ pipelining: 1 });

  private readonly tallies = new Map<string, Map<string, Tally>>();

  private readonly reports: CallReport[] = [];

  private maxStartDelayMs = 0;

  constructor(private readonly plan: LoadPlan) {}

  /** Sends the whole schedule and waits for all responses. */
  async run(): Promise<LoadResult> {
    const calls: Promise<void>[] = [];
    const start = performance.now();
    for (const arrival of scheduleArrivals(this.plan)) {
      const scheduled = start + arrival.offsetMs;
      await this.waitUntil(scheduled);
      this.maxStartDelayMs = Math.max(this.maxStartDelayMs, performance.now() - scheduled);
      calls.push(this.send(arrival, scheduled));
    }
    await Promise.all(calls);
    await this.agent.destroy();
    return this.result();
  }

  private async waitUntil(timeMs: number): Promise<void> {
    for (
      let remainingMs = timeMs - performance.now();
      remainingMs > 0;
      remainingMs = timeMs - performance.now()
    ) {
      await new Promise<void>((resolve) => {
        if (remainingMs > POLL_WINDOW_MS) setTimeout(resolve, remainingMs - POLL_WINDOW_MS);
        else setImmediate(resolve);
      });
    }
  }

  private async send(arrival: Arrival, scheduled: number): Promise<void> {
    const { baseUrl, kind, sequence } = arrival;
    const callKey = `${this.plan.runId}-${sequence}`;
    const headers: Headers = {
      'limpetknot-timeout-ms': String(this.plan.timeoutMs),
      ...(kind.isKeyed ? { 'idempotency-key': callKey } : {}),
    };
    const path = `${kind.path}/${callKey}`;
    const first = await this.attempt(`${baseUrl}${path}`, kind, headers);
    this.record(arrival, first, performance.now() - scheduled);
    const outcome = this.shouldRetry(kind, first)
      ? await this.retry(`${baseUrl}${path}`, kind, headers, first)
      : first;
    // The key under which targets record the call: its idempotency key or, without one, the path
    // that they receive, which lacks the first segment, the service.
    const key = kind.isKeyed ? callKey : path.slice(path.indexOf('/', 1));
    this.reports.push([key, outcome, kind.name]);
  }

  private async attempt(url: string, kind: CallKind, headers: Headers): Promise<CallOutcome> {
    try {
      const answer = await request(url, {
        dispatcher: this.agent,
        method: kind.method,
        headers,
        body: kind.method === 'POST' ? '{}' : null,
      });
      const body = await answer.body.text();
      const type = String(answer.headers['content-type'] ?? '');
      return classifyAnswer(answer.statusCode, type, body);
    } catch {
      return 'broken';
    }
  }

  private shouldRetry(kind: CallKind, outcome: CallOutcome): boolean {
    const isUnknown = outcome === 'unknown' || outcome === 'broken';
    return isUnknown && kind.isKeyed && this.plan.retryUnknownAfterMs !== undefined;
  }

  /** Retries a call with the same key; only a successful retry changes the outcome. */
  private async retry(
    url: string,
    kind: CallKind,
    headers: Headers,
    first: CallOutcome,
  ): Promise<CallOutcome> {
    await new Promise((resolve) => {
      setTimeout(resolve, this.plan.retryUnknownAfterMs);
    });
    const second = await this.attempt(url, kind, headers);
    return second === 'answered' ? second : first;
  }

  private record({ phase, kind }: Arrival, outcome: CallOutcome, milliseconds: number): void {
    const kinds = this.tallies.get(phase) ?? new Map<string, Tally>();
    this.tallies.set(phase, kinds);
    const tally = kinds.get(kind.name) ?? {
      outcomes: { answered: 0, failed: 0, 'not-run': 0, unknown: 0, broken: 0 },
      latency: new LatencyRecorder(),
    };
    kinds.set(kind.name, tally);
    tally.outcomes[outcome] += 1;
    if (outcome === 'answered') tally.latency.record(milliseconds);
  }

  private result(): LoadResult {
    const phases: Record<string, Record<string, KindResult>> = {};
    for (const [phase, kinds] of this.tallies) {
      phases[phase] = Object.fromEntries(
        [...kinds].map(([kind, { outcomes, latency }]) => [
          kind,
          { outcomes, latency: latency.summary() },
        ]),
      );
    }
    return { phases, reports: this.reports, maxStartDelayMs: this.maxStartDelayMs };
  }
}
