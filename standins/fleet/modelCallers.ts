import { type Catalog } from '../../src/catalog';
import { type CallEnd, type IncomingCall } from '../../src/delivery';
import { type Clock, type Random } from '../../src/runtime';

import { type ModelKind } from './modelOptions';
import { type KindReport } from './modelReport';
import { type ModelTroubles } from './modelTroubles';

const WINDOW_MS = 2000;
const CALLER_WAY_MS = 1;
// A window with fewer calls says little.
const LEAST_CALLS = 20;

interface Window {
  asked: number;
  inTime: number;
}

/** Where the modelled callers are. */
export interface ModelCallersParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly catalog: Catalog;
  readonly troubles: ModelTroubles;
  /** Takes a call at some host. */
  readonly serve: (call: IncomingCall) => Promise<CallEnd>;
}

/** Callers that ask at random times, come back when they are told, and count what they got. */
export class ModelCallers {
  private readonly work = new Map<string, number>();

  private readonly windows = new Map<number, Window>();

  private readonly reports = new Map<string, { -readonly [Key in keyof KindReport]: number }>();

  private nextId = 0;

  constructor(private readonly parts: ModelCallersParts) {}

  /** Begins with the calls of all kinds, until `endMs`. */
  start(kinds: readonly ModelKind[], endMs: number): void {
    const { clock, random, troubles } = this.parts;
    for (const kind of kinds) {
      const next = () => {
        if (clock.now() >= endMs) return;
        this.ask(kind);
        const gapMs = -Math.log(1 - random.next()) * (1000 / kind.perSecond / troubles.burst());
        clock.setTimer(clock.now() + gapMs, next);
      };
      clock.setTimer(200 + random.next() * 20, next);
    }
  }

  /** Work of a call at the usual pace, in milliseconds. */
  workOf(call: IncomingCall): number {
    return this.work.get(call.id)!;
  }

  /** What became of the calls of each kind. */
  kinds(): Readonly<Record<string, KindReport>> {
    return Object.fromEntries(this.reports);
  }

  /** Least share of calls in time over two seconds. */
  worstWindow(): number {
    const full = [...this.windows.values()].filter(({ asked }) => asked > LEAST_CALLS);
    return Math.min(...full.map(({ asked, inTime }) => inTime / asked));
  }

  private ask(kind: ModelKind): void {
    const askedAt = this.parts.clock.now();
    const window = Math.floor(askedAt / WINDOW_MS);
    const held = this.windows.get(window) ?? { asked: 0, inTime: 0 };
    this.windows.set(window, held);
    held.asked += 1;
    const report = this.reportOf(kind.name);
    report.asked += 1;
    // Work varies by a third, a little more upwards.
    const spread =
      0.3 *
      (this.parts.random.next() + this.parts.random.next() + this.parts.random.next() - 1.5) *
      2;
    const workMs = kind.workMs * Math.max(0.3, 1 + spread);
    void this.askUntilAnswered(kind, askedAt, workMs).then((isAnswered) => {
      const elapsedMs = this.parts.clock.now() - askedAt + CALLER_WAY_MS;
      if (!isAnswered) report.unserved += 1;
      else if (elapsedMs <= kind.objectiveMs) {
        report.inTime += 1;
        held.inTime += 1;
      } else report.late += 1;
    });
  }

  private async askUntilAnswered(
    kind: ModelKind,
    askedAt: number,
    workMs: number,
  ): Promise<boolean> {
    for (let turn = 0; turn <= kind.retries; turn += 1) {
      await this.wait(CALLER_WAY_MS);
      const end = await this.send(kind, workMs);
      if (end.kind === 'answer' && end.answer.head.status === 200) return true;
      const isRefused = end.kind === 'own' && end.own.kind === 'notRun';
      if (!isRefused && !kind.isIdempotent) return false;
      const isImpatient = this.parts.troubles.of('impatient').length > 0;
      const pauseMs =
        isRefused && !isImpatient ? (end.own as { retryAfterMs: number }).retryAfterMs : 5;
      if (this.parts.clock.now() + pauseMs > askedAt + kind.timeLimitMs * 2) return false;
      await this.wait(pauseMs);
    }
    return false;
  }

  private send(kind: ModelKind, workMs: number): Promise<CallEnd> {
    const now = this.parts.clock.now();
    this.nextId += 1;
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
        service: kind.service,
      },
      ...{
        arrivedAt: now,
        deadline: now + kind.timeLimitMs,
        callerDeadline: now + 2 * kind.timeLimitMs,
      },
    };
    this.work.set(call.id, workMs);
    return this.parts.serve(call);
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.setTimer(this.parts.clock.now() + milliseconds, resolve);
    });
  }

  private reportOf(kind: string) {
    let held = this.reports.get(kind);
    if (held === undefined) {
      held = { asked: 0, inTime: 0, late: 0, unserved: 0 };
      this.reports.set(kind, held);
    }
    return held;
  }
}
