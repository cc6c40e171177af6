import { type Catalog } from '../../src/catalog';
import { proberOf } from '../../src/knowledge';
import { ManualClock, SeededRandom } from '../../src/runtime';

import { ModelCallers } from './modelCallers';
import { modelCatalog } from './modelCatalog';
import { ModelHost } from './modelHost';
import { type ModelOptions } from './modelOptions';
import { type KindReport, type ModelReport } from './modelReport';
import { ModelTarget } from './modelTarget';
import { ModelTroubles } from './modelTroubles';

// Finer than the time between two calls to a target.
const STEP_MS = 0.5;
// Promises of a call's task settle within so many turns.
const TURNS = 6;
const NEAR_MS = 0.2;
const FAR_MS = 1;
const PROBE_EVERY_MS = 45;
const PROBE_MS = 1.5;
const REGULAR_MS = 100;
// Calls that began before the end of a run are given this time to end.
const DRAIN_MS = 3000;
// A host of another zone batches what it passes on for this time.
const PASS_ON_MS = 4;
// Spreads the targets that a trouble strikes over all services and zones.
const GOLDEN_SHARE = 0.618;

/** Hosts of the product's own decisions before modelled targets and callers, in simulated time. */
export class FleetModel {
  readonly clock = new ManualClock();

  readonly targets = new Map<string, ModelTarget>();

  readonly hosts: ModelHost[] = [];

  private readonly random: SeededRandom;

  private readonly catalog: Catalog;

  private readonly troubles: ModelTroubles;

  private readonly callers: ModelCallers;

  private sends = 0;

  private messages = 0;

  constructor(private readonly options: ModelOptions) {
    this.random = new SeededRandom(options.seed);
    this.catalog = modelCatalog(options);
    this.troubles = new ModelTroubles(this.clock, options.troubles);
    this.callers = new ModelCallers({
      ...{ clock: this.clock, random: this.random, catalog: this.catalog },
      troubles: this.troubles,
      serve: (call) => {
        const host = this.hosts[this.random.integer(this.hosts.length)]!;
        return options.policy === 'product' ? host.run(call) : host.runNaive(call);
      },
    });
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
    this.callers.start(this.options.kinds, endMs);
    while (this.clock.now() < endMs + DRAIN_MS) {
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
        return this.callers.workOf(call);
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
    const delay = isFar ? FAR_MS + PASS_ON_MS + NEAR_MS : NEAR_MS;
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

  private applyTroubles(now: number): void {
    if (now % REGULAR_MS !== 0) return;
    const all = [...this.targets.values()];
    const [slow] = this.troubles.of('slow');
    const [grey] = this.troubles.of('grey');
    all.forEach((target, index) => {
      const place = (index * GOLDEN_SHARE) % 1;
      target.slowFactor = slow !== undefined && place < slow.share ? slow.factor : 1;
      target.greyness = grey !== undefined && place < grey.share ? grey.how : null;
    });
  }

  private report(): ModelReport {
    const kinds = this.callers.kinds();
    const totals = Object.values(kinds);
    const sum = (read: (report: KindReport) => number) =>
      totals.reduce((total, report) => total + read(report), 0);
    const models = [...this.targets.values()];
    return {
      kinds,
      worstWindow: this.callers.worstWindow(),
      inTime: sum(({ inTime }) => inTime) / sum(({ asked }) => asked),
      sends: this.sends,
      messages: this.messages,
      queued: models.reduce((total, model) => total + model.queued, 0),
      turnedAway: models.reduce((total, model) => total + model.turnedAway, 0),
    };
  }
}
