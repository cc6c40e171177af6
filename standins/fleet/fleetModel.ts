import { type Catalog } from '../../src/catalog';
import { ManualClock, rendezvousChoice, SeededRandom } from '../../src/runtime';

import { ModelCallers } from './modelCallers';
import { modelCatalog } from './modelCatalog';
import { ModelHost } from './modelHost';
import { type ModelOptions } from './modelOptions';
import { type KindReport, type ModelReport } from './modelReport';
import { ModelTarget } from './modelTarget';
import { ActiveDisturbances } from './activeDisturbances';

// Shorter than the time between two calls to a target.
const STEP_MS = 0.5;
// Microtask turns within which the promises of a call settle.
const MICROTASK_TURNS = 6;
const SAME_ZONE_DELAY_MS = 0.2;
const CROSS_ZONE_DELAY_MS = 1;
const PROBE_INTERVAL_MS = 45;
const PROBE_DURATION_MS = 1.5;
const BROADCAST_INTERVAL_MS = 100;
// Time for calls that started before the end of a run to complete.
const DRAIN_MS = 3000;
// Time for which the receiving host of another zone batches what it rebroadcasts.
const REBROADCAST_DELAY_MS = 4;
// Spreads the targets that a disturbance affects over all services and zones.
const GOLDEN_RATIO_FRACTION = 0.618;

/** Simulates hosts that run the product's decisions, with modelled targets and callers. */
export class FleetModel {
  readonly clock = new ManualClock();

  readonly targets = new Map<string, ModelTarget>();

  readonly hosts: ModelHost[] = [];

  private readonly random: SeededRandom;

  private readonly catalog: Catalog;

  private readonly disturbances: ActiveDisturbances;

  private readonly callers: ModelCallers;

  private attempts = 0;

  private messages = 0;

  constructor(private readonly options: ModelOptions) {
    this.random = new SeededRandom(options.seed);
    this.catalog = modelCatalog(options);
    this.disturbances = new ActiveDisturbances(this.clock, options.disturbances);
    this.callers = new ModelCallers({
      ...{ clock: this.clock, random: this.random, catalog: this.catalog },
      disturbances: this.disturbances,
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
    for (const host of this.hosts) host.targetStates.applyCatalog(this.catalog);
  }

  /** Runs the simulation to its end. */
  async run(): Promise<ModelReport> {
    const endMs = this.options.seconds * 1000;
    this.startHealthChecks();
    this.callers.start(this.options.kinds, endMs);
    while (this.clock.now() < endMs + DRAIN_MS) {
      const now = this.clock.now() + STEP_MS;
      this.clock.advanceTo(now);
      this.applyDisturbances(now);
      for (const target of this.targets.values()) target.advance(now, STEP_MS);
      for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) await Promise.resolve();
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
      ...(options.hasInFlightBroadcasts === undefined
        ? {}
        : { hasInFlightBroadcasts: options.hasInFlightBroadcasts }),
      hostCount: () => Math.max(20, this.totalHostCount()),
      neighbourCount: () => options.hosts[options.zones.indexOf(zone)]! - 1,
      zoneHosts: () => this.hosts.filter((other) => other.zone === zone).map((other) => other.id),
      workMsOf: (call) => {
        this.attempts += 1;
        return this.callers.workMsOf(call);
      },
      oneWayDelayMs: (from, to) => (from === to ? SAME_ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS),
      broadcastReports: (reports, isCrossZone) =>
        this.broadcast(host, isCrossZone, (other) => {
          for (const report of reports) other.targetStates.applyReport(report);
        }),
      broadcastInFlightCounts: (counts, isCrossZone) =>
        this.broadcast(host, isCrossZone, (other) => {
          for (const count of counts) other.inFlightCounts.apply(count);
        }),
    });
    this.hosts.push(host);
  }

  private totalHostCount(): number {
    return this.options.hosts.reduce((sum, count) => sum + count, 0);
  }

  // In another zone, one host receives the message, batches and rebroadcasts it.
  private broadcast(
    sender: ModelHost,
    isCrossZone: boolean,
    receive: (host: ModelHost) => void,
  ): void {
    const delay = isCrossZone
      ? CROSS_ZONE_DELAY_MS + REBROADCAST_DELAY_MS + SAME_ZONE_DELAY_MS
      : SAME_ZONE_DELAY_MS;
    const receivers = this.hosts.filter(
      (host) => host !== sender && (host.zone === sender.zone) !== isCrossZone,
    );
    this.messages += receivers.length;
    this.clock.setTimer(this.clock.now() + delay, () => {
      for (const host of receivers) receive(host);
    });
  }

  private startHealthChecks(): void {
    for (const model of this.targets.values()) {
      const sameZoneHosts = this.hosts.filter((host) => host.zone === model.target.zone);
      const ids = sameZoneHosts.map((host) => host.id);
      const prober = sameZoneHosts.find(
        (host) => host.id === rendezvousChoice(model.target.id, ids),
      );
      if (prober === undefined) continue;
      const probe = () => {
        prober.probe(model);
        this.clock.setTimer(this.clock.now() + PROBE_INTERVAL_MS + PROBE_DURATION_MS, probe);
      };
      this.clock.setTimer(PROBE_INTERVAL_MS * this.random.next(), probe);
    }
    const broadcastCounts = () => {
      for (const host of this.hosts) {
        host.inFlightCounts.removeExpired();
        host.inFlightBroadcaster.refresh();
      }
      this.clock.setTimer(this.clock.now() + BROADCAST_INTERVAL_MS, broadcastCounts);
    };
    broadcastCounts();
  }

  private applyDisturbances(now: number): void {
    if (now % BROADCAST_INTERVAL_MS !== 0) return;
    const all = [...this.targets.values()];
    const [slow] = this.disturbances.active('slow');
    const [grey] = this.disturbances.active('grey');
    const [limited] = this.disturbances.active('limited');
    all.forEach((target, index) => {
      const position = (index * GOLDEN_RATIO_FRACTION) % 1;
      const isLimited =
        limited?.service === target.target.service &&
        (position < limited.share || limited.share === 1);
      target.stateLimit(isLimited ? limited.perSecond : null, now);
      target.slowFactor = slow !== undefined && position < slow.share ? slow.factor : 1;
      target.greyFailure = grey !== undefined && position < grey.share ? grey.how : null;
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
      worstWindowShare: this.callers.worstWindowShare(),
      inTimeShare: sum(({ inTime }) => inTime) / sum(({ calls }) => calls),
      attempts: this.attempts,
      messages: this.messages,
      queued: models.reduce((total, model) => total + model.queued, 0),
      maxCallsOverLimit: Math.max(...models.map((model) => model.maxCallsOverLimit)),
      rejected: models.reduce((total, model) => total + model.rejected, 0),
    };
  }
}
