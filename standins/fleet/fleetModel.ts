import {
  buildCatalog,
  type Catalog,
  type CatalogFact,
  type Configuration,
  type Route,
  type Target,
} from '../../src/catalog';
import { type CallEnd, type IncomingCall } from '../../src/delivery';
import { proberOf } from '../../src/knowledge';
import { ManualClock, SeededRandom } from '../../src/runtime';

import { ModelHost } from './modelHost';
import { type ModelKind, type ModelOptions, type ModelTrouble } from './modelOptions';
import { type KindReport, type ModelReport } from './modelReport';
import { ModelTarget } from './modelTarget';

// Finer than the time between two calls to a target.
const STEP_MS = 0.5;
// Promises of a call's task settle within so many turns.
const TURNS = 6;
const NEAR_MS = 0.2;
const FAR_MS = 1;
const PROBE_EVERY_MS = 45;
const PROBE_MS = 1.5;
const REGULAR_MS = 100;
const WINDOW_MS = 2000;
const CALLER_WAY_MS = 1;

interface Window {
  asked: number;
  inTime: number;
}

/** Hosts of the product's own decisions before modelled targets and callers, in simulated time. */
export class FleetModel {
  readonly clock = new ManualClock();

  readonly targets = new Map<string, ModelTarget>();

  readonly hosts: ModelHost[] = [];

  private readonly random: SeededRandom;

  private readonly catalog: Catalog;

  private readonly work = new Map<string, number>();

  private readonly windows = new Map<number, Window>();

  private readonly reports = new Map<string, { -readonly [Key in keyof KindReport]: number }>();

  private nextId = 0;

  private sends = 0;

  private messages = 0;

  constructor(private readonly options: ModelOptions) {
    this.random = new SeededRandom(options.seed);
    this.catalog = this.makeCatalog();
    for (const target of this.catalog.targets.values()) {
      const service = options.services.find(({ name }) => name === target.service)!;
      const random = new SeededRandom(this.random.integer(2 ** 30));
      this.targets.set(target.id, new ModelTarget(target, service, random));
    }
    options.zones.forEach((zone, index) => {
      for (let number = 1; number <= options.hosts[index]!; number += 1) this.addHost(zone, number);
    });
    for (const host of this.hosts) host.knowledge.follow(this.catalog);
  }

  /** Plays the run. */
  async run(): Promise<ModelReport> {
    const endMs = this.options.seconds * 1000;
    this.startProbes();
    this.startCallers(endMs);
    const drainMs = 3000;
    while (this.clock.now() < endMs + drainMs) {
      const now = this.clock.now() + STEP_MS;
      this.clock.advanceTo(now);
      this.applyTroubles(now);
      for (const target of this.targets.values()) target.work(now, STEP_MS);
      for (let turn = 0; turn < TURNS; turn += 1) await Promise.resolve();
    }
    return this.report();
  }

  private addHost(zone: string, number: number): void {
    const { options } = this;
    const host: ModelHost = new ModelHost(`${zone}-${number}`, zone, {
      clock: this.clock,
      random: new SeededRandom(this.random.integer(2 ** 30)),
      catalog: () => this.catalog,
      targets: this.targets,
      hostCount: Math.max(20, this.hostTotal()),
      neighbours: options.hosts[options.zones.indexOf(zone)]! - 1,
      workOf: (call) => {
        this.sends += 1;
        return this.work.get(call.id)!;
      },
      distance: (from, to) => (from === to ? NEAR_MS : FAR_MS),
      spreadReports: (reports, isFar) =>
        this.tell(host, isFar, (other) => {
          for (const report of reports) other.knowledge.take(report);
        }),
      spreadFlights: (counts, isFar) =>
        this.tell(host, isFar, (other) => {
          for (const count of counts) other.flights.take(count);
        }),
    });
    this.hosts.push(host);
  }

  private hostTotal(): number {
    return this.options.hosts.reduce((sum, count) => sum + count, 0);
  }

  // Other zones hear through one of their hosts, which batches what it passes on.
  private tell(from: ModelHost, isFar: boolean, take: (host: ModelHost) => void): void {
    const delay = isFar ? FAR_MS + 4 + NEAR_MS : NEAR_MS;
    const hearing = this.hosts.filter(
      (host) => host !== from && (host.zone === from.zone) !== isFar,
    );
    this.messages += hearing.length;
    this.clock.setTimer(this.clock.now() + delay, () => {
      for (const host of hearing) take(host);
    });
  }

  private startProbes(): void {
    for (const model of this.targets.values()) {
      const near = this.hosts.filter((host) => host.zone === model.target.zone);
      const ids = near.map((host) => host.id);
      const prober = near.find((host) => host.id === proberOf(model.target, ids));
      if (prober === undefined) continue;
      const probe = () => {
        const { running, waiting } = model.load();
        prober.learn({
          ...{ target: model.target.id, age: 0, running, waiting, pace: model.pace() },
          ...{ sight: 'probe' as const, coldLeft: null },
        });
        this.clock.setTimer(this.clock.now() + PROBE_EVERY_MS + PROBE_MS, probe);
      };
      this.clock.setTimer(PROBE_EVERY_MS * this.random.next(), probe);
    }
    const regular = () => {
      for (const host of this.hosts) {
        host.flights.sweep();
        host.flightOutbox.turn();
      }
      this.clock.setTimer(this.clock.now() + REGULAR_MS, regular);
    };
    regular();
  }

  private startCallers(endMs: number): void {
    for (const kind of this.options.kinds) {
      const next = () => {
        if (this.clock.now() >= endMs) return;
        this.ask(kind);
        const gapMs = -Math.log(1 - this.random.next()) * (1000 / kind.perSecond / this.burst());
        this.clock.setTimer(this.clock.now() + gapMs, next);
      };
      this.clock.setTimer(200 + this.random.next() * 20, next);
    }
  }

  private active(kind: ModelTrouble['kind']): readonly ModelTrouble[] {
    const seconds = this.clock.now() / 1000;
    return this.options.troubles.filter(
      (trouble) => trouble.kind === kind && trouble.at <= seconds && seconds < trouble.until,
    );
  }

  private burst(): number {
    return this.active('burst').reduce(
      (factor, trouble) => factor * (trouble.kind === 'burst' ? trouble.factor : 1),
      1,
    );
  }

  private applyTroubles(now: number): void {
    if (now % REGULAR_MS !== 0) return;
    const all = [...this.targets.values()];
    const slow = this.active('slow')[0];
    const grey = this.active('grey')[0];
    all.forEach((target, index) => {
      const place = (index * 0.618) % 1;
      const isSlow = slow?.kind === 'slow' && place < slow.share;
      target.slowFactor = isSlow ? slow.factor : 1;
      target.greyness = grey?.kind === 'grey' && place < grey.share ? grey.how : null;
    });
  }

  private ask(kind: ModelKind): void {
    const askedAt = this.clock.now();
    const window = Math.floor(askedAt / WINDOW_MS);
    const held = this.windows.get(window) ?? { asked: 0, inTime: 0 };
    this.windows.set(window, held);
    held.asked += 1;
    const report = this.reportOf(kind.name);
    report.asked += 1;
    // Work varies by a third, a little more upwards.
    const spread = 0.3 * (this.random.next() + this.random.next() + this.random.next() - 1.5) * 2;
    const workMs = kind.workMs * Math.max(0.3, 1 + spread);
    void this.askUntilAnswered(kind, askedAt, workMs).then((isAnswered) => {
      const elapsedMs = this.clock.now() - askedAt + CALLER_WAY_MS;
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
      const isImpatient = this.active('impatient').length > 0;
      const pauseMs =
        isRefused && !isImpatient ? (end.own as { retryAfterMs: number }).retryAfterMs : 5;
      if (this.clock.now() + pauseMs > askedAt + kind.timeLimitMs * 2) return false;
      await this.wait(pauseMs);
    }
    return false;
  }

  private send(kind: ModelKind, workMs: number): Promise<CallEnd> {
    const host = this.hosts[this.random.integer(this.hosts.length)]!;
    const now = this.clock.now();
    this.nextId += 1;
    const call: IncomingCall = {
      ...{
        id: `call-${this.nextId}`,
        method: 'GET',
        path: `/${kind.name}/`,
        headers: [],
        body: null,
      },
      ...{ route: this.catalog.routes.find('model', `/${kind.name}/`)!, service: kind.service },
      ...{
        arrivedAt: now,
        deadline: now + kind.timeLimitMs,
        callerDeadline: now + 2 * kind.timeLimitMs,
      },
    };
    this.work.set(call.id, workMs);
    return this.options.policy === 'product' ? host.run(call) : host.runNaive(call);
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(this.clock.now() + milliseconds, resolve);
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

  private report(): ModelReport {
    const totals = [...this.reports.values()];
    const sum = (read: (report: KindReport) => number) =>
      totals.reduce((total, report) => total + read(report), 0);
    const shares = [...this.windows.values()]
      .filter(({ asked }) => asked > 20)
      .map(({ asked, inTime }) => inTime / asked);
    const models = [...this.targets.values()];
    return {
      kinds: Object.fromEntries(this.reports),
      worstWindow: Math.min(...shares),
      inTime: sum(({ inTime }) => inTime) / sum(({ asked }) => asked),
      sends: this.sends,
      messages: this.messages,
      queued: models.reduce((total, model) => total + model.queued, 0),
      turnedAway: models.reduce((total, model) => total + model.turnedAway, 0),
    };
  }

  private makeCatalog(): Catalog {
    const { kinds, services, zones } = this.options;
    const routes: Route[] = kinds.map((kind) => ({
      ...{ name: kind.name, hostName: 'model', prefix: `/${kind.name}/` },
      ...{ isIdempotent: kind.isIdempotent, timeLimitMs: kind.timeLimitMs },
      ...{ latencyObjectiveMs: kind.objectiveMs, priority: kind.priority, mostAttempts: 2 },
      parts: [{ service: kind.service, weight: 1 }],
    }));
    const configuration: Configuration = {
      ...{ version: 1, routes },
      services: services.map(({ name }) => ({
        ...{ name, probePath: '/', connectionLimit: 200 },
        ...{ coldPeriodMs: 3000, coldRatePerSecond: 8 },
      })),
      limits: { headerBytes: 16_384, bodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    };
    const targets: Target[] = services.flatMap((service) =>
      zones.flatMap((zone, index) =>
        Array.from({ length: service.targets[index]! }, (_, number) => ({
          ...{ id: `${service.name}-${zone}-${number}`, service: service.name, zone },
          ...{ address: '', slots: service.slots, state: 'ready' as const },
          ...{ coldUntil: 0, startedAt: 1 },
        })),
      ),
    );
    const facts: CatalogFact[] = [
      { kind: 'configuration', configuration },
      ...targets.map((target) => ({ kind: 'target' as const, target })),
    ];
    return buildCatalog(1, facts, null);
  }
}
