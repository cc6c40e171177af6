import { type Catalog } from '../../src/catalog';
import { type CallEnd, type IncomingCall } from '../../src/delivery';
import { ManualClock, SeededRandom } from '../../src/runtime';
import {
  ActiveDisturbances,
  type KindReport,
  ModelCallers,
  type ModelOptions,
  ModelTarget,
  modelCatalog,
} from '../../standins/fleet';
import { SimulatedHosts } from '../exchange/simulatedHosts';
import { SimulatedSource } from '../exchange/simulatedSource';

import { NetworkedHost } from './networkedHost';
import { WishRecords } from './wishRecords';

const STEP_MS = 0.5;
// Microtask turns within which the promises of a call settle.
const MICROTASK_TURNS = 6;
const SAME_ZONE_DELAY_MS = 0.2;
const CROSS_ZONE_DELAY_MS = 1;
const PROBE_INTERVAL_MS = 45;
const TICK_MS = 100;

/** Options of a networked fleet. */
export interface NetworkedFleetOptions extends ModelOptions {
  /** Whether hosts tell each other which targets are leaving. */
  readonly hasNotices: boolean;
  readonly observer?: FleetObserver;
  /** Calls of the zones in proportion to each other; by default all hosts get as many. */
  readonly zoneWeights?: readonly number[];
  /** Time that a health check takes at the usual pace; 0 by default. */
  readonly probeMs?: number;
  /** Time for which a host keeps an idle connection to a target. */
  readonly idleMs?: number;
}

/** Observes the calls of a networked fleet. */
export interface FleetObserver {
  /** A call has reached a target, which has not yet taken it. */
  onArrival(host: NetworkedHost, call: IncomingCall, target: ModelTarget, now: number): void;
  /** A host has ended a call. */
  onEnd(call: IncomingCall, end: CallEnd, now: number): void;
}

/**
 * The hosts, targets and callers of the fleet model, whose hosts learn of each other and of the targets
 * by the messages of a simulated network and from a simulated source.
 */
export class NetworkedFleet {
  readonly clock = new ManualClock();

  readonly source = new SimulatedSource(this.clock);

  readonly network: SimulatedHosts;

  readonly targets = new Map<string, ModelTarget>();

  readonly records = new WishRecords();

  readonly random: SeededRandom;

  /** The live hosts. */
  private readonly hosts = new Map<string, NetworkedHost>();

  private readonly callers: ModelCallers;

  private readonly catalog: Catalog;

  /** Answers of hosts that say that a call was not run. */
  refusals = 0;

  private starts = 0;

  constructor(private readonly options: NetworkedFleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.catalog = modelCatalog(options);
    for (const target of this.catalog.targets.values()) {
      const service = options.services.find(({ name }) => name === target.service)!;
      const random = new SeededRandom(this.random.integer(2 ** 30));
      this.targets.set(target.id, new ModelTarget(target, service, random));
    }
    this.callers = new ModelCallers({
      ...{ clock: this.clock, random: this.random, catalog: this.catalog },
      disturbances: new ActiveDisturbances(this.clock, options.disturbances),
      serve: (call) => this.serve(call),
    });
    const seeds = ['10.0.0.0', '10.0.0.1', '10.0.0.2'];
    const { clock, random, source } = this;
    this.network = new SimulatedHosts(
      ...([clock, random, options.zones, () => seeds, source] as const),
      (address, ledger, exchange) => {
        const { random: seedSource, targets } = this;
        this.starts += 1;
        const host: NetworkedHost = new NetworkedHost({
          ...{ clock, address, ledger, exchange, targets, hasNotices: options.hasNotices },
          idleMs: options.idleMs,
          name: `${address.id} (start ${this.starts})`,
          random: new SeededRandom(seedSource.integer(2 ** 30)),
          workMsOf: (call) => this.callers.workMsOf(call),
          oneWayDelayMs: (from, to) => (from === to ? SAME_ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS),
          onLeaving: () => this.records.recordKnown(clock.now()),
          onArrival: (call, target) => this.recordArrival(host, call, target),
        });
        this.hosts.set(address.id, host);
        return host.exchangeParts();
      },
    );
    this.publishCatalog();
    this.startHosts();
  }

  /** Advances simulated time to `until`, in milliseconds. */
  async advanceTo(until: number): Promise<void> {
    while (this.clock.now() < until) {
      const now = this.clock.now() + STEP_MS;
      this.clock.advanceTo(now);
      for (const target of this.targets.values()) target.advance(now, STEP_MS);
      for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) await Promise.resolve();
    }
  }

  /** Starts the callers, who send calls until `until`. */
  startCallers(until: number): void {
    this.callers.start(this.options.kinds, until);
  }

  /** Ends a host without notice to the others and starts it again after `downMs`. */
  restart(id: string, downMs: number): void {
    this.hosts.get(id)!.stop();
    this.hosts.delete(id);
    this.network.kill(id);
    const { zone, ip } = this.network.hosts.get(id)!.address;
    this.clock.setTimer(this.clock.now() + downMs, () => this.network.start(id, zone, ip, false));
  }

  /** Share of the calls of a kind that have ended and were answered within their objective. */
  inTimeShare(kind: string): number {
    const { inTime, late, unserved } = this.callers.kinds()[kind]!;
    return inTime / (inTime + late + unserved);
  }

  /** Outcomes of the calls, by kind. */
  outcomes(): Readonly<Record<string, KindReport>> {
    return this.callers.kinds();
  }

  /** Connections that the live hosts have opened for calls. */
  openedConnections(): number {
    return [...this.hosts.values()].reduce((sum, host) => sum + host.connections.opened, 0);
  }

  /** Ids of the live hosts. */
  liveHosts(): readonly string[] {
    return [...this.hosts.keys()];
  }

  private publishCatalog(): void {
    const { configuration, targets } = this.catalog;
    this.source.publish('configuration', { kind: 'configuration', configuration: configuration! });
    for (const target of targets.values())
      this.source.publish(target.id, { kind: 'target', target });
  }

  private startHosts(): void {
    const { clock, options, random } = this;
    const zonesOfHosts = options.zones.flatMap((zone, at) =>
      Array<string>(options.hosts[at]!).fill(zone),
    );
    zonesOfHosts.forEach((zone, number) =>
      this.network.start(`host-${number}`, zone, `10.0.0.${number}`),
    );
    const tick = () => {
      for (const host of this.hosts.values()) host.tick();
      clock.setTimer(clock.now() + TICK_MS, tick);
    };
    tick();
    for (const target of this.targets.values()) {
      const probe = () => {
        const tookMs = ((options.probeMs ?? 0) * target.pace()) / 100;
        for (const host of this.hosts.values())
          if (host.subsets.isProber(target.target.id))
            clock.setTimer(clock.now() + tookMs, () => host.model.probe(target));
        clock.setTimer(clock.now() + PROBE_INTERVAL_MS + tookMs, probe);
      };
      clock.setTimer(PROBE_INTERVAL_MS * random.next(), probe);
    }
  }

  private async serve(call: IncomingCall): Promise<CallEnd> {
    const host = this.chooseHost();
    const end = await host.model.run(call);
    this.options.observer?.onEnd(call, end, this.clock.now());
    if (end.kind === 'own' && end.own.kind === 'notRun') this.refusals += 1;
    if (end.kind === 'answer' && end.answer.head.metadata.isLeaving) {
      const { target } = end.answer.head.metadata;
      this.records.recordPassedOn(host.name, target!, this.clock.now());
    }
    return end;
  }

  private chooseHost(): NetworkedHost {
    const ready = [...this.hosts.values()].filter((host) => host.isReady());
    const { zones, zoneWeights } = this.options;
    if (zoneWeights === undefined) return ready[this.random.integer(ready.length)]!;
    const point = this.random.next() * zoneWeights.reduce((sum, weight) => sum + weight, 0);
    let passed = 0;
    const zone = zones.find((_, at) => {
      passed += zoneWeights[at]!;
      return point < passed;
    });
    const near = ready.filter((host) => host.zone === zone);
    return near[this.random.integer(near.length)]!;
  }

  private recordArrival(host: NetworkedHost, call: IncomingCall, target: ModelTarget): void {
    const now = this.clock.now();
    this.options.observer?.onArrival(host, call, target, now);
    const { running, waiting } = target.load();
    this.records.recordArrival({
      ...{ host: host.name, hostStartedAt: host.startedAt, target: target.target.id },
      ...{ at: now, sentAt: call.arrivedAt },
      quietMs: target.quietMs(now),
      load: running + waiting + 1,
    });
  }
}
