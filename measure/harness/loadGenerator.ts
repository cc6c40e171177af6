import { Agent, request } from 'undici';

import { type Arrival, scheduleArrivals } from './arrivals';
import { type CallOutcome, outcomeOfAnswer } from './callOutcome';
import { LatencyRecorder } from './latencySummary';
import { type CallReport, type KindResult, type LoadResult } from './loadResult';
import { type CallKind, type LoadPlan } from './plan';

// Below this distance to the next arrival the generator polls instead of sleeping, since Node's
// timers are late by up to a millisecond.
const POLL_WITHIN_MS = 3;

type Headers = Record<string, string>;

interface Tally {
  readonly outcomes: Record<CallOutcome, number>;
  readonly latency: LatencyRecorder;
}

/** Open-loop load generator: sends on a fixed schedule and never waits for answers. */
export class LoadGenerator {
  private readonly agent = new Agent({ pipelining: 1 });

  private readonly tallies = new Map<string, Map<string, Tally>>();

  private readonly reports: CallReport[] = [];

  private latestStart = 0;

  constructor(private readonly plan: LoadPlan) {}

  /** Sends the whole schedule and waits for all answers. */
  async run(): Promise<LoadResult> {
    const calls: Promise<void>[] = [];
    const start = performance.now();
    for (const arrival of scheduleArrivals(this.plan)) {
      const scheduled = start + arrival.at;
      await this.waitUntil(scheduled);
      this.latestStart = Math.max(this.latestStart, performance.now() - scheduled);
      calls.push(this.send(arrival, scheduled));
    }
    await Promise.all(calls);
    await this.agent.destroy();
    return this.result();
  }

  private async waitUntil(at: number): Promise<void> {
    for (let left = at - performance.now(); left > 0; left = at - performance.now()) {
      await new Promise<void>((resolve) => {
        if (left > POLL_WITHIN_MS) setTimeout(resolve, left - POLL_WITHIN_MS);
        else setImmediate(resolve);
      });
    }
  }

  private async send(arrival: Arrival, scheduled: number): Promise<void> {
    const { base, kind, number } = arrival;
    const unique = `${this.plan.runId}-${number}`;
    const headers: Headers = {
      'limpetknot-timeout-ms': String(this.plan.timeoutMs),
      ...(kind.keyed ? { 'idempotency-key': unique } : {}),
    };
    const path = `${kind.path}/${unique}`;
    const first = await this.attempt(`${base}${path}`, kind, headers);
    this.record(arrival, first, performance.now() - scheduled);
    const outcome = this.repeats(kind, first)
      ? await this.repeat(`${base}${path}`, kind, headers, first)
      : first;
    // Targets see the path without its first segment, the service.
    const key = kind.keyed ? unique : path.slice(path.indexOf('/', 1));
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
      return outcomeOfAnswer(answer.statusCode, type, body);
    } catch {
      return 'broken';
    }
  }

  private repeats(kind: CallKind, outcome: CallOutcome): boolean {
    const isUnknown = outcome === 'unknown' || outcome === 'broken';
    return isUnknown && kind.keyed && this.plan.repeatUnknownAfterMs !== undefined;
  }

  /** Repeats a call with its key; only a success changes what the caller knows. */
  private async repeat(
    url: string,
    kind: CallKind,
    headers: Headers,
    first: CallOutcome,
  ): Promise<CallOutcome> {
    await new Promise((resolve) => {
      setTimeout(resolve, this.plan.repeatUnknownAfterMs);
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
    return { phases, reports: this.reports, latestStart: this.latestStart };
  }
}
