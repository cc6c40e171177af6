import { type Catalog } from '../../src/catalog';
import { type CallEnd, type IncomingCall } from '../../src/delivery';
import { type Clock, type Random } from '../../src/runtime';

import { type ModelKind } from './modelOptions';
import { type KindReport } from './modelReport';
import { type ActiveDisturbances } from './activeDisturbances';

const WINDOW_MS = 2000;
const CALLER_DELAY_MS = 1;
// A window with this many calls or fewer is too small a sample.
const WINDOW_CALL_THRESHOLD = 20;

interface Window {
  calls: number;
  inTime: number;
}

/** Dependencies of the modelled callers. */
export interface ModelCallersParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly catalog: Catalog;
  readonly disturbances: ActiveDisturbances;
  /** Handles a call at one of the hosts. */
  readonly serve: (call: IncomingCall) => Promise<CallEnd>;
}

/** Callers with exponential inter-arrival times that heed retry hints and count the outcomes. */
export class ModelCallers {
  private readonly workByCall = new Map<string, number>();

  private readonly windows = new Map<number, Window>();

  private readonly reports = new Map<string, { -readonly [Key in keyof KindReport]: number }>();

  private nextId = 0;

  constructor(private readonly parts: ModelCallersParts) {}

  /** Starts sending calls of all kinds, until `endMs`. */
  start(kinds: readonly ModelKind[], endMs: number): void {
    const { clock, random, disturbances } = this.parts;
    for (const kind of kinds) {
      const callNext = () => {
        if (clock.now() >= endMs) return;
        this.startCall(kind);
        const gapMs =
          -Math.log(1 - random.next()) *
          (1000 / kind.perSecond / disturbances.loadFactor(kind.name));
        clock.setTimer(clock.now() + gapMs, callNext);
      };
      clock.setTimer(200 + random.next() * 20, callNext);
    }
  }

  /** Service time of a call at the usual pace, in milliseconds. */
  workMsOf(call: IncomingCall): number {
    return this.workByCall.get(call.id)!;
  }

  /** Outcomes of the calls, by kind. */
  kinds(): Readonly<Record<string, KindReport>> {
    return Object.fromEntries(this.reports);
  }

  /** Lowest share of calls in time in a window of two seconds. */
  worstWindowShare(): number {
    const counted = [...this.windows.values()].filter(({ calls }) => calls > WINDOW_CALL_THRESHOLD);
    return Math.min(...counted.map(({ calls, inTime }) => inTime / calls));
  }

  private startCall(kind: ModelKind): void {
    const startedAt = this.parts.clock.now();
    const window = Math.floor(startedAt / WINDOW_MS);
    const windowCounts = this.windows.get(window) ?? { calls: 0, inTime: 0 };
    this.windows.set(window, windowCounts);
    windowCounts.calls += 1;
    const report = this.reportOf(kind.name);
    report.calls += 1;
    // Work varies by about a third; the lower bound makes the mean slightly higher.
    const variation =
      0.3 *
      (this.parts.random.next() + this.parts.random.next() + this.parts.random.next() - 1.5) *
      2;
    const workMs = kind.workMs * Math.max(0.3, 1 + variation);
    void this.callWithRetries(kind, startedAt, workMs).then((isAnswered) => {
      const elapsedMs = this.parts.clock.now() - startedAt + CALLER_DELAY_MS;
      if (!isAnswered) report.unserved += 1;
      else if (elapsedMs <= kind.objectiveMs) {
        report.inTime += 1;
        windowCounts.inTime += 1;
      } else report.late += 1;
    });
  }

  private async callWithRetries(
    kind: ModelKind,
    startedAt: number,
    workMs: number,
  ): Promise<boolean> {
    for (let attempt = 0; attempt <= kind.retries; attempt += 1) {
      await this.wait(CALLER_DELAY_MS);
      const end = await this.send(kind, workMs);
      if (end.kind === 'answer' && end.answer.head.status === 200) return true;
      const isRefused = end.kind === 'own' && end.own.kind === 'notRun';
      if (!isRefused && !kind.isIdempotent) return false;
      const isImpatient = this.parts.disturbances.active('impatient').length > 0;
      const pauseMs =
        isRefused && !isImpatient ? (end.own as { retryAfterMs: number }).retryAfterMs : 5;
      if (this.parts.clock.now() + pauseMs > startedAt + kind.timeLimitMs * 2) return false;
      await this.wait(pauseMs);
    }
    return false;
  }

  private send(kind: ModelKind, workMs: number): Promise<CallEnd> {
    const now = this.parts.clock.now();
    this.nextId += 1;
    const services = [kind.service, ...(kind.otherServices ?? [])];
    const call: IncomingCall = {
      ...{
        id: `call-${this.nextId}`,
        method: 'GET',
        path: `/${kind.name}/`,
        headers: [],
        body: null,
      },
      ...{
        route: this.parts.catalog.routes.find('model', `/${kind.name}/`)!,
        service: services[this.nextId % services.length]!,
      },
      ...{
        arrivedAt: now,
        deadline: now + kind.timeLimitMs,
        tenant: this.parts.catalog.tenants?.get(kind.tenant ?? '') ?? null,
        callerDeadline: now + 2 * kind.timeLimitMs,
      },
    };
    this.workByCall.set(call.id, workMs);
    return this.parts.serve(call);
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.setTimer(this.parts.clock.now() + milliseconds, resolve);
    });
  }

  private reportOf(kind: string) {
    let report = this.reports.get(kind);
    if (report === undefined) {
      report = { calls: 0, inTime: 0, late: 0, unserved: 0 };
      this.reports.set(kind, report);
    }
    return report;
  }
}
