import { Err, Ok, Result } from 'ts-results';

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
import {
  type DatagramLink,
  Exchange,
  type HostAddress,
  openDatagramLink,
  EXCHANGE_EVENTS,
} from '../exchange';
import {
  InFlightBroadcaster,
  LastSlotSlowdowns,
  InFlightTable,
  identityKey,
  TargetStatisticsTable,
  TargetSubsets,
  ReportBroadcaster,
  type TargetReport,
  WorkEstimates,
} from '../knowledge';
import { type Lifecycle } from '../lifecycle';
import { type EventSink } from '../logging';
import { type PrometheusSink } from '../metrics';
import { type Clock, type Random, runEvery } from '../runtime';
import { type BalancerSettings } from '../settings';
import { CatalogReader, mustRead, SOURCE_EVENTS } from '../source';
import { CrashTable } from '../suspects';

import { type BalancerAdapter } from './balancerAdapter';
import { TargetConditionLog } from './beliefLog';
import { callShare, MIN_ASSUMED_HOSTS } from './callShare';
import { createControlServer } from './controlServer';
import { describeBalancer } from './describeBalancer';
import { BALANCER_EVENTS } from './events';
import { bindWhenFree } from './bindWhenFree';
import { listenAt } from './listen';
import { BALANCER_METRICS } from './metrics';
import { pullCatalog } from './pullCatalog';
import { createReadinessServer } from './readinessServer';
import { sourceReports } from './sourceReports';

// Period of work that no event triggers: assigning health checks, detecting lost targets, gauges.
const TICK_MS = 100;
const BYTES_PER_MEGABYTE = 1024 * 1024;
// Calls hold at most this share of the memory; the heap with all else takes the rest.
const CALL_MEMORY_SHARE = 1 / 4;
// Each call needs a connection of its caller and one to a target; the rest is for health checks, other
// hosts and files.
const CALLER_DESCRIPTOR_SHARE = 0.45;

/** Settings and dependencies of a balancer. */
export interface BalancerParts {
  readonly settings: BalancerSettings;
  readonly seeds: () => readonly string[];
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

  private constructor(
    private readonly parts: BalancerParts,
    link: DatagramLink,
  ) {
    const { clock, random, events, settings, adapter, metrics } = parts;
    const { protocol } = adapter;
    const catalog = () => this.ledger.catalog();
    this.inFlightCounts = new InFlightTable(clock);
    this.targetStates = new TargetStatisticsTable(
      clock,
      this.inFlightCounts,
      (...change) => this.inFlightBroadcaster.recordCalls(...change),
      (key) => this.subsets.hasInFlightBroadcasts(key),
    );
    this.targetConditions = new TargetConditionLog(clock, this.targetStates, events);
    this.crashTable = new CrashTable(clock);
    this.exchange = this.makeExchange(link);
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
    this.probes = new ProbeTable(
      {
        ...{ clock, protocol, catalog, targetStates: this.targetStates, onOpened },
        onReport: (report) => this.applyAndBroadcast(report),
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
        broadcastCrash: (fingerprint, callId, isCleared) =>
          this.exchange.broadcastCrash({ kind: 'crash', fingerprint, callId, isCleared }),
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

  /** Starts a balancer; the error names the address or port that could not be opened. */
  static async start(parts: BalancerParts): Promise<Result<Balancer, string>> {
    const { settings, events, lifecycle } = parts;
    const ip = ipOf(settings['control-address']);
    const opened = await bindWhenFree(parts, 'exchange-port', () =>
      Result.wrapAsync<DatagramLink, Error>(() =>
        openDatagramLink(ip, settings['exchange-port'], (error) =>
          events.emit(EXCHANGE_EVENTS.linkError, { reason: error.message }),
        ),
      ).then((result) => result.mapErr((error) => error.message)),
    );
    if (opened.err) return Err(`exchange port: ${opened.val}`);
    const link = opened.val;
    lifecycle.own('exchange link', () => link.close());
    const balancer = new Balancer(parts, link);
    const ready = await balancer.open();
    return ready.ok ? Ok(balancer) : ready;
  }

  /** Whether callers should send calls to this host. */
  isReady(): boolean {
    return !this.isStopping() && this.ledger.catalog().configuration !== null;
  }

  /**
   * Begins the stop: the host reports not ready, and answers close their connections. Calls that may
   * not be answered by `deadline`, a monotonic time in milliseconds, are no longer sent to targets.
   */
  beginStop(deadline: number): void {
    this.stopDeadline = deadline;
    this.exchange.announce();
  }

  private isStopping(): boolean {
    return this.stopDeadline !== Infinity;
  }

  private async open(): Promise<Result<void, string>> {
    const { settings, clock, lifecycle } = this.parts;
    this.subscribeToLedger();
    const readiness = createReadinessServer(settings['readiness-path'], () => this.isReady());
    const control = createControlServer({
      ...{ clock, ledger: this.ledger },
      renderMetrics: () => this.parts.metrics.render(),
      describe: () =>
        describeBalancer({
          settings,
          clock,
          catalog: this.ledger.catalog(),
          targetStates: this.targetStates,
          subsets: this.subsets,
          hosts: this.exchange.membership.live(),
          source: { state: this.reader.state(), lastAnswerAt: this.reader.lastAnswerAt() },
          isReady: this.isReady(),
        }),
    });
    const servers = [
      { name: 'caller-address', server: this.calls.server, address: settings['caller-address'] },
      { name: 'readiness-address', server: readiness, address: settings['readiness-address'] },
      { name: 'control-address', server: control, address: settings['control-address'] },
    ];
    for (const { name, server, address } of servers) {
      const bound = await bindWhenFree(this.parts, name, () => listenAt(server, address));
      if (bound.err) return Err(`${name} ${address}: ${bound.val}`);
      lifecycle.own(name, () => {
        server.close();
        server.closeAllConnections();
      });
    }
    await this.openMetrics();
    lifecycle.own('connections to targets', () => this.delivery.close());
    lifecycle.own('probes', () => this.probes.close());
    this.exchange.start();
    lifecycle.own('exchange', () => this.exchange.close());
    void this.reader.run();
    lifecycle.own('catalog reader', () => this.reader.close());
    lifecycle.own('turns', this.startTicks());
    return Ok(undefined);
  }

  private async openMetrics(): Promise<void> {
    const { settings, events, clock, lifecycle } = this.parts;
    const port = settings['metrics-port'];
    if (port === 0) return;
    // Answers /catalog, /metrics, /status and /livez as the control address does, except that /status
    // is an empty object: this port is for the metrics, and the control address serves the status.
    const server = createControlServer({
      ...{ clock, ledger: this.ledger, describe: () => ({}) },
      renderMetrics: () => this.parts.metrics.render(),
    });
    const bound = await listenAt(server, `${ipOf(settings['control-address'])}:${port}`);
    // Not fatal: the control address serves the metrics too.
    if (bound.err) events.emit(BALANCER_EVENTS.startFailed, { part: 'metrics', reason: bound.val });
    else lifecycle.own('metrics-port', () => server.closeAllConnections());
  }

  private subscribeToLedger(): void {
    const { events } = this.parts;
    this.ledger.onChange((catalog) => {
      this.targetStates.applyCatalog(catalog);
      this.subsets.applyCatalog(catalog);
      this.reportBroadcaster.retainTargets((target) => catalog.targets.has(target));
      this.delivery.applyCatalog(catalog);
      this.probes.applyCatalog(catalog);
      this.calls.applyCatalog(catalog);
      this.targetConditions.applyCatalog(catalog);
      events.emit(BALANCER_EVENTS.catalogChanged, {
        asOf: catalog.asOf,
        version: catalog.configuration?.version ?? null,
        routes: catalog.configuration?.routes.length ?? 0,
        targets: catalog.targets.size,
        zonesOut: [...catalog.zonesOut],
      });
      if (this.hasLoggedReady || !this.isReady()) return;
      this.hasLoggedReady = true;
      events.emit(BALANCER_EVENTS.ready, { sinceStartMs: Math.round(process.uptime() * 1000) });
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

  private makeExchange(link: DatagramLink): Exchange {
    const { clock, random, events, settings } = this.parts;
    const ip = ipOf(settings['control-address']);
    const ownHostKey = identityKey(settings['host-id']);
    const self: HostAddress = { id: settings['host-id'], zone: settings.zone, ip };
    return new Exchange({
      ...{ clock, random, link, events, self, ledger: this.ledger, zones: settings.zones },
      incarnation: random.integer(2 ** 30),
      seeds: () => this.parts.seeds().map(ipOf),
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
      onCrash: ({ fingerprint, callId, isCleared }) => {
        if (isCleared) this.crashTable.clear(fingerprint);
        else this.crashTable.record(fingerprint, callId);
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
