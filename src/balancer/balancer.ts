import { type Server } from 'node:http';

import { Ledger } from '../catalog';
import {
  CallServer,
  CrashGuard,
  MemoryAccount,
  Delivery,
  Placer,
  ProbeTable,
  type CallEnd,
  type IncomingCall,
} from '../delivery';
import { Exchange, type HostAddress, UdpLink, EXCHANGE_EVENTS } from '../exchange';
import {
  InFlightBroadcaster,
  LastSlotSlowdowns,
  type LeavingTarget,
  InFlightTable,
  identityKey,
  TargetStatisticsTable,
  TargetSubsets,
  ReportBroadcaster,
  type TargetReport,
  WorkEstimates,
} from '../knowledge';
import { type Lifecycle, type Supervisor } from '../lifecycle';
import { type EventSink } from '../logging';
import { type PrometheusSink } from '../metrics';
import { type Clock, type Random, runEvery } from '../runtime';
import { type BalancerSettings } from '../settings';
import { CatalogReader, mustRead, SOURCE_EVENTS } from '../source';
import { CrashTable } from '../suspects';

import { Addresses } from './addresses';
import { type BalancerAdapter } from './balancerAdapter';
import { TargetConditionLog } from './beliefLog';
import { callShare, MIN_ASSUMED_HOSTS } from './callShare';
import { createControlServer } from './controlServer';
import { describeBalancer } from './describeBalancer';
import { BALANCER_EVENTS } from './events';
import { listenAt } from './listen';
import { BALANCER_METRICS } from './metrics';
import { pullCatalog } from './pullCatalog';
import { createReadinessServer } from './readinessServer';
import { sourceReports } from './sourceReports';
import { superviseTasks } from './superviseTasks';

// Period of work that no event triggers: assigning health checks, detecting lost targets, gauges.
const TICK_MS = 100;
// Without the exchange a host knows neither the limits and crashes that others see nor how many they
// are, so that its calls could break what the hosts keep together. The other addresses serve hosts and
// operators, who have other hosts to ask.
const ADDRESSES_OF_CALLS = ['caller-address', 'exchange-port'];
const BYTES_PER_MEGABYTE = 1024 * 1024;
// Calls hold at most this share of the memory; the heap with all else takes the rest.
const CALL_MEMORY_SHARE = 1 / 4;
// Each call needs a connection of its caller and one to a target; the rest is for health checks, other
// hosts and files.
const CALLER_DESCRIPTOR_SHARE = 0.45;

/** Settings and dependencies of a balancer. */
export interface BalancerParts {
  readonly settings: BalancerSettings;
  /** The newest settings; seeds and addresses that are not open yet are taken from them. */
  readonly currentSettings: () => BalancerSettings;
  readonly adapter: BalancerAdapter;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly metrics: PrometheusSink;
  readonly lifecycle: Lifecycle;
  readonly droppedLines: () => number;
}

function ipOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** One host of the system: everything that its process runs between start and stop. */
export class Balancer {
  readonly calls: CallServer;

  private readonly ledger = new Ledger();

  private readonly targetStates: TargetStatisticsTable;

  private readonly exchange: Exchange;

  private readonly inFlightCounts: InFlightTable;

  private readonly inFlightBroadcaster: InFlightBroadcaster;

  private readonly reader: CatalogReader;

  private readonly reportBroadcaster: ReportBroadcaster;

  private readonly subsets: TargetSubsets;

  private readonly probes: ProbeTable;

  private readonly delivery: Delivery;

  private readonly crashTable: CrashTable;

  private readonly targetConditions: TargetConditionLog;

  /** Monotonic time by which the last answer must be sent; Infinity unless the host is stopping. */
  private stopDeadline = Infinity;

  private hasLoggedReady = false;

  private readonly link: UdpLink;

  private readonly addresses: Addresses;

  private readonly tasks: Supervisor;

  private constructor(private readonly parts: BalancerParts) {
    const { clock, random, events, settings, adapter, metrics } = parts;
    const { protocol } = adapter;
    const catalog = () => this.ledger.catalog();
    const tasks = superviseTasks(clock, events);
    this.tasks = tasks;
    this.inFlightCounts = new InFlightTable(clock);
    this.targetStates = new TargetStatisticsTable(
      clock,
      this.inFlightCounts,
      (...change) => this.inFlightBroadcaster.recordCalls(...change),
      (key) => this.subsets.hasInFlightBroadcasts(key),
    );
    this.targetConditions = new TargetConditionLog(clock, this.targetStates, events);
    this.crashTable = new CrashTable(clock);
    this.link = new UdpLink((error) =>
      events.emit(EXCHANGE_EVENTS.linkError, { reason: error.message }),
    );
    this.exchange = this.makeExchange(this.link);
    this.addresses = new Addresses({
      ...{ clock, events, tasks, onOpened: () => this.applyOpenedAddress() },
    });
    this.subsets = new TargetSubsets({
      hostId: settings['host-id'],
      zone: settings.zone,
      hosts: () => this.stayingZoneHosts(),
    });
    this.reportBroadcaster = new ReportBroadcaster(clock, {
      broadcastReports: (reports, isCrossZone) =>
        this.exchange.broadcastReports(reports, isCrossZone),
      neighbourCount: () => this.exchange.membership.neighbours().length,
      receiverCount: () =>
        this.subsets.isActive()
          ? this.subsets.otherSharers()
          : this.exchange.membership.neighbours().length,
    });
    this.inFlightBroadcaster = new InFlightBroadcaster(clock, settings['host-id'], {
      broadcastInFlightCounts: (counts, isCrossZone) =>
        this.exchange.broadcastInFlightCounts(counts, isCrossZone),
      neighbourCount: () => this.exchange.membership.neighbours().length,
      hasInFlightBroadcasts: (key) => this.subsets.hasInFlightBroadcasts(key),
    });
    this.reader = this.makeReader();
    const onOpened = () => metrics.increment(BALANCER_METRICS.connections);
    const onLeaving = (target: LeavingTarget) =>
      this.exchange.broadcastNotices({ leaving: [target] });
    this.probes = new ProbeTable(
      {
        ...{ clock, tasks, protocol, catalog, targetStates: this.targetStates, onOpened },
        onReport: (report) => this.applyAndBroadcast(report),
        onLeaving,
        onProbe: () => metrics.increment(BALANCER_METRICS.probes),
      },
      {
        isProber: (target) => this.subsets.isProber(target.id),
        isUser: (target) => this.subsets.has(target.id),
      },
    );
    const work = new WorkEstimates();
    const lastSlotSlowdowns = new LastSlotSlowdowns();
    const placer = new Placer({
      ...{
        clock,
        random,
        catalog,
        work,
        lastSlotSlowdowns,
        targetStates: this.targetStates,
        zone: settings.zone,
      },
      preference: this.subsets,
      isConnected: (target) => this.delivery.isConnected(target),
      callShare: (target, rate) =>
        this.isStopping()
          ? 0
          : callShare(target.id, target.zone === settings.zone, rate, this.fleetSize(target.id)),
    });
    const crashes = new CrashGuard(
      clock,
      this.crashTable,
      events,
      {
        broadcastCrashes: (history) => this.exchange.broadcastNotices({ crashes: [history] }),
      },
      (target, at) => (this.targetStates.get(target)?.lostAt ?? Infinity) > at,
    );
    const memory = new MemoryAccount(
      settings['memory-limit-mb'] * BYTES_PER_MEGABYTE * CALL_MEMORY_SHARE,
    );
    this.delivery = new Delivery({
      ...{
        memory,
        clock,
        random,
        events,
        protocol,
        placer,
        crashes,
        catalog,
        targetStates: this.targetStates,
        stopDeadline: () => this.stopDeadline,
      },
      retryBudgetLimits: {
        ratio: settings['retry-ratio'],
        slack: settings['retry-slack'],
        windowMs: settings['retry-window-s'] * 1000,
      },
      hostCount: () => Math.max(MIN_ASSUMED_HOSTS, this.exchange.membership.maxLiveHostCount()),
      onReport: (report) => this.applyAndBroadcast(report),
      onUnexpectedClose: (target) => this.probes.check(target),
      onLeaving,
      counters: {
        attempt: (service) => metrics.increment(BALANCER_METRICS.attempts, 1, { service }),
        retry: (service) => metrics.increment(BALANCER_METRICS.retries, 1, { service }),
        connection: onOpened,
        attemptTime: (service, milliseconds) =>
          metrics.timing(BALANCER_METRICS.attemptTime, milliseconds, { service }),
      },
    });
    this.calls = new CallServer({
      ...{ clock, random, events, protocol, catalog, context: this.delivery },
      observer: { onEnd: (call, end, elapsedMs) => this.countCall(call, end, elapsedMs) },
      memory,
      maxConnections: Math.floor(settings['descriptor-limit'] * CALLER_DESCRIPTOR_SHARE),
    });
  }

  /** Starts a balancer. It is not ready before the addresses that calls need are open. */
  static async start(parts: BalancerParts): Promise<Balancer> {
    const balancer = new Balancer(parts);
    await balancer.open();
    return balancer;
  }

  /** Whether callers should send calls to this host. */
  isReady(): boolean {
    const hasConfiguration = this.ledger.catalog().configuration !== null;
    return hasConfiguration && this.isOpenToCalls() && !this.isStopping();
  }

  /** Whether the addresses that calls need are open. */
  isOpenToCalls(): boolean {
    const awaited = this.addresses.waitingFor();
    return !ADDRESSES_OF_CALLS.some((name) => awaited.includes(name));
  }

  /**
   * Begins the stop: the host reports not ready, and answers close their connections. Calls that may
   * not be answered by `deadline`, a monotonic time in milliseconds, are no longer sent to targets.
   */
  beginStop(deadline: number): void {
    this.stopDeadline = deadline;
    // An error would end the process, and with it the calls that the stop completes.
    void this.tasks.run('announcing the stop', () => this.exchange.announce());
  }

  private isStopping(): boolean {
    return this.stopDeadline !== Infinity;
  }

  private async open(): Promise<void> {
    const { settings, lifecycle } = this.parts;
    this.subscribeToLedger();
    const current = this.parts.currentSettings;
    const currentIp = () => ipOf(current()['control-address']);
    const readiness = createReadinessServer(settings['readiness-path'], () => this.isReady());
    const control = this.makeControlServer(() => this.describe());
    // Answers /catalog, /metrics, /status and /livez as the control address does, except that /status
    // is an empty object: this port is for the metrics, and the control address serves the status.
    const metrics = this.makeControlServer(() => ({}));
    lifecycle.own('exchange link', () => this.link.close());
    const attempts = [
      this.openServer('readiness-address', readiness, () => current()['readiness-address']),
      this.openServer('caller-address', this.calls.server, () => current()['caller-address']),
      this.addresses.open('exchange-port', () =>
        this.link.open(currentIp(), current()['exchange-port']),
      ),
      this.openServer('control-address', control, () => current()['control-address']),
    ];
    if (settings['metrics-port'] !== 0) {
      const address = () => `${currentIp()}:${current()['metrics-port']}`;
      attempts.push(this.openServer('metrics-port', metrics, address));
    }
    lifecycle.own('addresses', () => this.addresses.close());
    await Promise.all(attempts);
    lifecycle.own('connections to targets', () => this.delivery.close());
    lifecycle.own('probes', () => this.probes.close());
    this.exchange.start();
    lifecycle.own('exchange', () => this.exchange.close());
    void this.tasks.run('catalog reader', () => this.reader.run());
    lifecycle.own('catalog reader', () => this.reader.close());
    lifecycle.own('turns', this.startTicks());
  }

  private openServer(name: string, server: Server, address: () => string): Promise<void> {
    this.parts.lifecycle.own(name, () => {
      server.close();
      server.closeAllConnections();
    });
    return this.addresses.open(name, () => listenAt(server, address()));
  }

  private makeControlServer(describe: () => unknown): Server {
    const { clock, metrics } = this.parts;
    const renderMetrics = () => metrics.render();
    return createControlServer({ clock, ledger: this.ledger, renderMetrics, describe });
  }

  private describe() {
    const { settings, clock } = this.parts;
    return describeBalancer({
      ...{ settings, clock, targetStates: this.targetStates, subsets: this.subsets },
      catalog: this.ledger.catalog(),
      hosts: this.exchange.membership.live(),
      source: { state: this.reader.state(), lastAnswerAt: this.reader.lastAnswerAt() },
      isReady: this.isReady(),
      waitingFor: this.addresses.waitingFor(),
    });
  }

  private applyOpenedAddress(): void {
    // Other hosts learn of this one at once if it was the address of the exchange.
    this.exchange.announce();
    this.logReadyOnce();
  }

  private logReadyOnce(): void {
    if (this.hasLoggedReady || !this.isReady()) return;
    this.hasLoggedReady = true;
    const sinceStartMs = Math.round(process.uptime() * 1000);
    this.parts.events.emit(BALANCER_EVENTS.ready, { sinceStartMs });
  }

  private subscribeToLedger(): void {
    const { events } = this.parts;
    const { targetStates, subsets, delivery, probes, calls, targetConditions } = this;
    for (const part of [targetStates, subsets, delivery, probes, calls, targetConditions])
      this.ledger.onChange((catalog) => part.applyCatalog(catalog));
    this.ledger.onChange((catalog) => {
      this.reportBroadcaster.retainTargets((target) => catalog.targets.has(target));
      events.emit(BALANCER_EVENTS.catalogChanged, {
        asOf: catalog.asOf,
        version: catalog.configuration?.version ?? null,
        routes: catalog.configuration?.routes.length ?? 0,
        targets: catalog.targets.size,
        zonesOut: [...catalog.zonesOut],
      });
      this.logReadyOnce();
    });
  }

  private makeReader(): CatalogReader {
    const { clock, random, events, settings, adapter, metrics } = this.parts;
    const hostId = settings['host-id'];
    const startedAt = clock.now();
    return new CatalogReader({
      ...{ clock, random, events, ledger: this.ledger },
      source: adapter.openSource(settings.source, clock, events),
      mustRead: () =>
        mustRead({
          hostId,
          isStopping: this.isStopping(),
          isFirstStart: settings['first-start'],
          knowsConfiguration: this.ledger.catalog().configuration !== null,
          uptimeMs: clock.now() - startedAt,
          neighbours: sourceReports(this.exchange.membership),
        }),
      onChanges: (changes, changedRecords) => {
        metrics.increment(BALANCER_METRICS.sourceAnswers);
        // Sends all records, not only the changed ones: a host that applies the changes regards its
        // catalog as complete up to their revision.
        this.exchange.broadcastChanges(changes);
        for (const { key, fact, revision } of changedRecords) {
          events.emit(SOURCE_EVENTS.changed, {
            key,
            revision,
            kind: fact?.kind ?? 'nothing usable',
          });
        }
      },
      onStateChange: () => this.exchange.announce(),
    });
  }

  private makeExchange(link: UdpLink): Exchange {
    const { clock, random, events, settings } = this.parts;
    const ip = ipOf(settings['control-address']);
    const ownHostKey = identityKey(settings['host-id']);
    const self: HostAddress = { id: settings['host-id'], zone: settings.zone, ip };
    return new Exchange({
      ...{ clock, random, link, events, self, ledger: this.ledger, zones: settings.zones },
      tasks: this.tasks,
      incarnation: random.integer(2 ** 30),
      seeds: () => this.parts.currentSettings().seeds.map(ipOf),
      sourceState: () => this.reader.state(),
      isLeaving: () => this.isStopping(),
      sharersOf: (target) => this.subsets.sharersOf(target),
      sharersOfKey: (key) => this.subsets.sharersOfKey(key),
      pull: (host, after) =>
        pullCatalog(
          { clock, events, port: settings['control-address'].split(':')[1]! },
          host,
          after,
        ),
      onReports: (reports) => {
        for (const report of reports) this.applyReport(report);
      },
      onInFlightCounts: (counts, shouldRebroadcast) => {
        const others = counts.filter(({ host }) => host !== ownHostKey);
        for (const count of others) this.inFlightCounts.apply(count);
        if (shouldRebroadcast) this.inFlightBroadcaster.rebroadcast(others);
      },
      notices: () => ({
        crashes: this.crashTable.histories(),
        leaving: this.targetStates.leavingTargets(),
      }),
      onNotices: ({ crashes, leaving }) => {
        for (const history of crashes) this.crashTable.apply(history);
        for (const target of leaving) this.targetStates.recordLeaving(target);
      },
    });
  }

  /** Applies a report of this host and queues it for broadcast to the others. */
  private applyAndBroadcast(report: TargetReport): void {
    const hasLimitChanged = this.targetStates.hasOtherLimit(report);
    this.applyReport(report);
    this.reportBroadcaster.enqueue(report, hasLimitChanged);
  }

  private applyReport(report: TargetReport): void {
    this.targetStates.applyReport(report);
    this.targetConditions.update(report.target);
  }

  /** The hosts of this zone that are not leaving, and this one. */
  private stayingZoneHosts(): readonly string[] {
    const others = this.exchange.membership.neighbours().filter((host) => !host.isLeaving);
    return [...others.map((host) => host.id), this.parts.settings['host-id']];
  }

  private fleetSize(target: string) {
    const { membership } = this.exchange;
    const hostId = this.parts.settings['host-id'];
    const zoneHosts = this.subsets.sharersOf(target) ?? this.stayingZoneHosts();
    return { hostId, zoneHosts, maxLiveHostCount: membership.maxLiveHostCount() };
  }

  private countCall(call: IncomingCall | null, end: CallEnd, elapsedMs: number): void {
    const { metrics } = this.parts;
    const route = call?.route.name ?? 'none';
    const outcome = end.kind === 'own' ? end.own.kind : end.kind;
    metrics.increment(BALANCER_METRICS.calls, 1, { route, outcome });
    metrics.timing(BALANCER_METRICS.callTime, elapsedMs, { route });
  }

  private reportCatalog(): void {
    const { metrics } = this.parts;
    const { asOf, configuration, targets } = this.ledger.catalog();
    metrics.gauge(BALANCER_METRICS.asOf, asOf);
    metrics.gauge(BALANCER_METRICS.newest, this.ledger.newestRevision());
    metrics.gauge(BALANCER_METRICS.version, configuration?.version ?? 0);
    metrics.gauge(BALANCER_METRICS.targets, targets.size);
  }

  private startTicks(): () => void {
    const { clock, metrics, events, droppedLines } = this.parts;
    let expectedAt = clock.now() + TICK_MS;
    let reportedDrops = 0;
    return runEvery(clock, TICK_MS, () => {
      metrics.timing(BALANCER_METRICS.loopDelay, Math.max(0, clock.now() - expectedAt));
      this.inFlightCounts.removeExpired();
      this.inFlightBroadcaster.refresh();
      if (this.subsets.refresh()) this.probes.assign();
      this.probes.tick();
      metrics.gauge(BALANCER_METRICS.awaitedAddresses, this.addresses.waitingFor().length);
      metrics.gauge(BALANCER_METRICS.hosts, this.exchange.membership.live().length);
      this.reportCatalog();
      metrics.gauge(BALANCER_METRICS.linesDropped, droppedLines());
      if (droppedLines() > reportedDrops) {
        events.emit(BALANCER_EVENTS.linesDropped, { lines: droppedLines() - reportedDrops });
        reportedDrops = droppedLines();
      }
      expectedAt = clock.now() + TICK_MS;
    });
  }
}
