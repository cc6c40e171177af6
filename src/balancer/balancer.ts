import { Err, Ok, type Result } from 'ts-results';

import { decodeChanges, type CatalogChanges, Ledger } from '../catalog';
import {
  CallServer,
  CrashGuard,
  Delivery,
  Placer,
  ProbeTable,
  type CallEnd,
  type IncomingCall,
} from '../delivery';
import { Exchange, type HostAddress, openDatagramLink, EXCHANGE_EVENTS } from '../exchange';
import {
  FlightOutbox,
  FullSlowdowns,
  FlightTable,
  identityKey,
  isLargeZone,
  KnowledgeTable,
  ReportOutbox,
  type TargetReport,
  WorkEstimates,
} from '../knowledge';
import { type Lifecycle } from '../lifecycle';
import { type EventSink } from '../logging';
import { type TextSink } from '../metrics';
import { type Clock, type Random, runEvery } from '../runtime';
import { type BalancerSettings } from '../settings';
import { CatalogReader, mustRead, SOURCE_EVENTS } from '../source';
import { CrashTable } from '../suspects';
import { JsonClient } from '../transport';

import { type BalancerAdapter } from './balancerAdapter';
import { BeliefLog } from './beliefLog';
import { coldShare, SMALLEST_FLEET } from './coldShare';
import { createControlServer } from './controlServer';
import { describeBalancer } from './describeBalancer';
import { BALANCER_EVENTS } from './events';
import { listenAt } from './listen';
import { BALANCER_METRICS } from './metrics';
import { createReadinessServer } from './readinessServer';
import { sourceReports } from './sourceReports';

// Regular work that has no event of its own: who probes, lost targets, gauges.
const TURN_MS = 100;
const PULL_TIMEOUT_MS = 600;

/** What a balancer is made of. */
export interface BalancerParts {
  readonly settings: BalancerSettings;
  readonly seeds: () => readonly string[];
  readonly adapter: BalancerAdapter;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly metrics: TextSink;
  readonly lifecycle: Lifecycle;
  readonly droppedLines: () => number;
}

function ipOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** One host of the system: everything that a process does between start and stop. */
export class Balancer {
  readonly calls: CallServer;

  private readonly ledger = new Ledger();

  private readonly knowledge: KnowledgeTable;

  private readonly exchange: Exchange;

  private readonly flights: FlightTable;

  private readonly flightOutbox: FlightOutbox;

  private readonly reader: CatalogReader;

  private readonly outbox: ReportOutbox;

  private readonly probes: ProbeTable;

  private readonly delivery: Delivery;

  private readonly crashTable: CrashTable;

  private readonly beliefs: BeliefLog;

  private isStopping = false;

  private wasReady = false;

  private constructor(
    private readonly parts: BalancerParts,
    link: Awaited<ReturnType<typeof openDatagramLink>>,
  ) {
    const { clock, random, events, settings, adapter, metrics } = parts;
    const { protocol } = adapter;
    const catalog = () => this.ledger.catalog();
    this.flights = new FlightTable(clock);
    this.knowledge = new KnowledgeTable(
      clock,
      this.flights,
      (...change) => this.flightOutbox.note(...change),
      () => !isLargeZone(this.exchange.membership.neighbours().length),
    );
    this.beliefs = new BeliefLog(clock, this.knowledge, events);
    this.crashTable = new CrashTable(clock);
    this.exchange = this.makeExchange(link);
    this.outbox = new ReportOutbox(clock, {
      spreadReports: (reports, isFar) => this.exchange.spreadReports(reports, isFar),
      neighbourCount: () => this.exchange.membership.neighbours().length,
    });
    this.flightOutbox = new FlightOutbox(clock, settings['host-id'], {
      spreadFlights: (counts, isFar) => this.exchange.spreadFlights(counts, isFar),
      neighbourCount: () => this.exchange.membership.neighbours().length,
    });
    this.reader = this.makeReader();
    const onOpened = () => metrics.increment(BALANCER_METRICS.connections);
    this.probes = new ProbeTable(
      {
        ...{ clock, protocol, catalog, knowledge: this.knowledge, onOpened },
        onReport: (report) => this.learn(report),
        onProbe: () => metrics.increment(BALANCER_METRICS.probes),
      },
      { hostId: settings['host-id'], hostsOf: (zone) => this.hostsOf(zone) },
    );
    const work = new WorkEstimates();
    const slowdowns = new FullSlowdowns();
    const placer = new Placer({
      ...{
        clock,
        random,
        catalog,
        work,
        slowdowns,
        knowledge: this.knowledge,
        zone: settings.zone,
      },
      isConnected: (target) => this.delivery.isConnected(target),
      coldShare: (target, rate) =>
        coldShare(target.id, target.zone === settings.zone, rate, this.fleetSize()),
    });
    const crashes = new CrashGuard(
      clock,
      this.crashTable,
      events,
      {
        tellCrash: (fingerprint, callId, cleared) =>
          this.exchange.spreadCrash({ kind: 'crash', fingerprint, callId, cleared }),
      },
      (target, at) => (this.knowledge.get(target)?.lostAt ?? Infinity) > at,
    );
    this.delivery = new Delivery({
      ...{ clock, random, events, protocol, placer, crashes, catalog, knowledge: this.knowledge },
      retryBounds: {
        ratio: settings['retry-ratio'],
        slack: settings['retry-slack'],
        windowMs: settings['retry-window-s'] * 1000,
      },
      hostCount: () => Math.max(SMALLEST_FLEET, this.exchange.membership.largestSize()),
      onReport: (report) => this.learn(report),
      onSuddenClose: (target) => this.probes.check(target),
      counters: {
        attempt: (service) => metrics.increment(BALANCER_METRICS.attempts, 1, { service }),
        repeat: (service) => metrics.increment(BALANCER_METRICS.repeats, 1, { service }),
        connection: onOpened,
        attemptTime: (service, milliseconds) =>
          metrics.timing(BALANCER_METRICS.attemptTime, milliseconds, { service }),
      },
    });
    this.calls = new CallServer({
      ...{ clock, random, events, protocol, catalog, context: this.delivery },
      isStopping: () => this.isStopping,
      observer: { onEnd: (call, end, elapsedMs) => this.countCall(call, end, elapsedMs) },
    });
  }

  /** Starts a balancer; the error says what could not be opened. */
  static async start(parts: BalancerParts): Promise<Result<Balancer, string>> {
    const { settings, events, lifecycle } = parts;
    const ip = ipOf(settings['control-address']);
    let link;
    try {
      link = await openDatagramLink(ip, settings['exchange-port'], (error) =>
        events.emit(EXCHANGE_EVENTS.linkError, { reason: error.message }),
      );
    } catch (error) {
      return Err(`exchange port: ${(error as Error).message}`);
    }
    lifecycle.own('exchange link', () => link.close());
    const balancer = new Balancer(parts, link);
    const opened = await balancer.open();
    return opened.ok ? Ok(balancer) : opened;
  }

  /** Whether callers should come here. */
  isReady(): boolean {
    return !this.isStopping && this.ledger.catalog().configuration !== null;
  }

  /** Begins the stop: not ready any more, and answers end their connections. */
  beginStop(): void {
    this.isStopping = true;
    this.exchange.announce();
  }

  private async open(): Promise<Result<void, string>> {
    const { settings, clock, lifecycle } = this.parts;
    this.followLedger();
    const readiness = createReadinessServer(settings['readiness-path'], () => this.isReady());
    const control = createControlServer({
      ...{ clock, ledger: this.ledger },
      renderMetrics: () => this.parts.metrics.render(),
      describe: () =>
        describeBalancer({
          settings,
          clock,
          catalog: this.ledger.catalog(),
          knowledge: this.knowledge,
          hosts: this.exchange.membership.live(),
          source: { state: this.reader.state(), lastAnswer: this.reader.lastAnswer() },
          isReady: this.isReady(),
        }),
    });
    const servers = [
      { name: 'caller-address', server: this.calls.server, address: settings['caller-address'] },
      { name: 'readiness-address', server: readiness, address: settings['readiness-address'] },
      { name: 'control-address', server: control, address: settings['control-address'] },
    ];
    for (const { name, server, address } of servers) {
      const bound = await listenAt(server, address);
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
    lifecycle.own('turns', this.startTurns());
    return Ok(undefined);
  }

  private async openMetrics(): Promise<void> {
    const { settings, events, clock, lifecycle } = this.parts;
    const port = settings['metrics-port'];
    if (port === 0) return;
    const server = createControlServer({
      ...{ clock, ledger: this.ledger, describe: () => ({}) },
      renderMetrics: () => this.parts.metrics.render(),
    });
    const bound = await listenAt(server, `${ipOf(settings['control-address'])}:${port}`);
    // Metrics are also at the control address; a port that is taken keeps nobody from being served.
    if (bound.err) events.emit(BALANCER_EVENTS.startFailed, { part: 'metrics', reason: bound.val });
    else lifecycle.own('metrics-port', () => server.closeAllConnections());
  }

  private followLedger(): void {
    const { events } = this.parts;
    this.ledger.onChange((catalog) => {
      this.knowledge.follow(catalog);
      this.delivery.follow(catalog);
      this.probes.follow(catalog);
      this.calls.follow(catalog);
      this.beliefs.follow(catalog);
      events.emit(BALANCER_EVENTS.catalogChanged, {
        asOf: catalog.asOf,
        version: catalog.configuration?.version ?? null,
        routes: catalog.configuration?.routes.length ?? 0,
        targets: catalog.targets.size,
        zonesOut: [...catalog.zonesOut],
      });
      if (this.wasReady || !this.isReady()) return;
      this.wasReady = true;
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
          isStopping: this.isStopping,
          isFirstStart: settings['first-start'],
          knowsConfiguration: this.ledger.catalog().configuration !== null,
          ageMs: clock.now() - startedAt,
          neighbours: sourceReports(this.exchange.membership),
        }),
      onChanges: (changes, news) => {
        metrics.increment(BALANCER_METRICS.reads);
        // All of the records: hosts that take the changes count themselves complete up to their end.
        this.exchange.spreadChanges(changes);
        for (const { key, fact, revision } of news) {
          events.emit(SOURCE_EVENTS.changed, {
            key,
            revision,
            kind: fact?.kind ?? 'nothing usable',
          });
        }
      },
      onState: () => this.exchange.announce(),
    });
  }

  private makeExchange(link: Awaited<ReturnType<typeof openDatagramLink>>): Exchange {
    const { clock, random, events, settings } = this.parts;
    const ip = ipOf(settings['control-address']);
    const ownKey = identityKey(settings['host-id']);
    const self: HostAddress = { id: settings['host-id'], zone: settings.zone, ip };
    return new Exchange({
      ...{ clock, random, link, events, self, ledger: this.ledger, zones: settings.zones },
      incarnation: random.integer(2 ** 30),
      seeds: () => this.parts.seeds().map(ipOf),
      sourceState: () => this.reader.state(),
      isLeaving: () => this.isStopping,
      pull: (host, after) => this.pull(host, after),
      onReports: (reports) => {
        for (const report of reports) this.take(report);
      },
      onFlights: (counts, passOn) => {
        const others = counts.filter(({ host }) => host !== ownKey);
        for (const count of others) this.flights.take(count);
        if (passOn) this.flightOutbox.passOn(others);
      },
      onCrash: ({ fingerprint, callId, cleared }) => {
        if (cleared) this.crashTable.clear(fingerprint);
        else this.crashTable.note(fingerprint, callId);
      },
    });
  }

  private async pull(host: HostAddress, after: number): Promise<CatalogChanges | null> {
    const { clock, events, settings } = this.parts;
    const port = settings['control-address'].split(':')[1];
    const client = new JsonClient(`http://${host.ip}:${port}`, clock);
    const reply = await client.get(`/catalog?after=${after}`, clock.now() + PULL_TIMEOUT_MS);
    client.close();
    if (reply.ok && reply.val.status === 200) {
      return decodeChanges(JSON.stringify(reply.val.body), clock.now());
    }
    const reason = reply.ok ? `status ${reply.val.status}` : reply.val.message;
    events.emit(EXCHANGE_EVENTS.pullFailed, { peer: host.id, after, reason });
    return null;
  }

  /** Takes what this host saw, and tells the others. */
  private learn(report: TargetReport): void {
    this.take(report);
    this.outbox.add(report);
  }

  private take(report: TargetReport): void {
    this.knowledge.take(report);
    this.beliefs.note(report.target);
  }

  private hostsOf(zone: string): readonly string[] {
    const { settings } = this.parts;
    const isOwn = zone === settings.zone;
    // Only the hosts of its zone probe a target.
    if (!isOwn) return [];
    const others = this.exchange.membership.neighbours().filter((host) => !host.isLeaving);
    const ids = others.map((host) => host.id);
    return [...ids, settings['host-id']].sort();
  }

  private fleetSize() {
    const { membership } = this.exchange;
    const hostId = this.parts.settings['host-id'];
    const zoneHosts = [hostId, ...membership.neighbours().map((host) => host.id)];
    return { hostId, zoneHosts, largest: membership.largestSize() };
  }

  private countCall(call: IncomingCall | null, end: CallEnd, elapsedMs: number): void {
    const { metrics } = this.parts;
    const route = call?.route.name ?? 'none';
    const outcome = end.kind === 'own' ? end.own.kind : end.kind;
    metrics.increment(BALANCER_METRICS.calls, 1, { route, outcome });
    metrics.timing(BALANCER_METRICS.callTime, elapsedMs, { route });
  }

  private startTurns(): () => void {
    const { clock, metrics, events, droppedLines } = this.parts;
    let expectedAt = clock.now() + TURN_MS;
    let dropped = 0;
    return runEvery(clock, TURN_MS, () => {
      metrics.timing(BALANCER_METRICS.loopDelay, Math.max(0, clock.now() - expectedAt));
      this.flights.sweep();
      this.flightOutbox.turn();
      this.probes.turn();
      metrics.gauge(BALANCER_METRICS.hosts, this.exchange.membership.live().length);
      metrics.gauge(BALANCER_METRICS.asOf, this.ledger.catalog().asOf);
      metrics.gauge(BALANCER_METRICS.targets, this.ledger.catalog().targets.size);
      metrics.gauge(BALANCER_METRICS.linesDropped, droppedLines());
      if (droppedLines() > dropped) {
        events.emit(BALANCER_EVENTS.linesDropped, { lines: droppedLines() - dropped });
        dropped = droppedLines();
      }
      expectedAt = clock.now() + TURN_MS;
    });
  }
}
