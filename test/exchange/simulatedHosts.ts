import { type CatalogChanges, decodeChanges, encodeChanges, Ledger } from '../../src/catalog';
import {
  type DatagramLink,
  Exchange,
  type ExchangeParts,
  type HostAddress,
} from '../../src/exchange';
import { Freshness } from '../../src/freshness';
import {
  InFlightBroadcaster,
  InFlightTable,
  isLargeZone,
  type TargetReport,
  TargetStatisticsTable,
} from '../../src/knowledge';
import { Supervisor } from '../../src/lifecycle';
import { SilentSink } from '../../src/metrics';
import {
  type ManualClock,
  type Random,
  SeededRandom,
  SuspensionClock,
  waitUntil,
} from '../../src/runtime';
import { AnswerHistory, CatalogReader, mustRead } from '../../src/source';
import { CrashTable } from '../../src/suspects';

import { SimulatedSource } from './simulatedSource';

// A pull that takes longer than this fails.
const PULL_TIMEOUT_MS = 600;
const SHORTEST_OUTAGE_MS = 2250;
// Time by which a change is in use; the shortest one of the users.
const APPLY_MS = 2000;
// One-way latency between hosts, as on production networks.
const SAME_ZONE_LATENCY_MS = 0.2;
const CROSS_ZONE_LATENCY_MS = 0.5;

/** A simulated host and what it received and sent. */
export interface SimulatedHost {
  readonly address: HostAddress;
  readonly ledger: Ledger;
  readonly exchange: Exchange;
  readonly reports: TargetReport[];
  readonly reader: CatalogReader | null;
  readonly freshness: Freshness;
  readonly inFlightTable: InFlightTable;
  readonly crashTable: CrashTable;
  readonly targetStates: TargetStatisticsTable;
  readonly inFlightBroadcaster: InFlightBroadcaster;
  sentBytes: number;
  sentDatagrams: number;
  isDown: boolean;
  /** Pulls that this host is serving. */
  pullsServed: number;
}

/** Makes what a started host decides by what it receives; `exchange` may be called later. */
export type MakeDecisions = (
  address: HostAddress,
  ledger: Ledger,
  exchange: () => Exchange,
) => Partial<ExchangeParts>;

/**
 * Simulated hosts of several zones on a network with packet loss and partitions, in simulated time.
 */
export class SimulatedHosts {
  readonly hosts = new Map<string, SimulatedHost>();

  lossRatio = 0;

  /** Time that the link of a host takes to send its catalog once; 0 sends it at once. */
  transferMs = 0;

  /** Pulls that a host serves at the same time; it rejects the others. */
  mostPullsServed = Infinity;

  /** Share of the pulls that time out. */
  pullLossRatio = 0;

  /** Whether datagrams from one host to another are dropped. */
  isCut: (from: HostAddress, to: HostAddress) => boolean = () => false;

  /** Called with each datagram that a host sends. */
  onSend: (bytes: Buffer, from: string) => void = () => {};

  private readonly hostsByIp = new Map<string, SimulatedHost>();

  private readonly listeners = new Map<string, (bytes: Buffer, fromIp: string) => void>();

  private nextIncarnation = 0;

  constructor(
    readonly clock: ManualClock,
    private readonly random: Random,
    private readonly zones: readonly string[],
    private readonly seeds: () => readonly string[],
    /** Read by the reader of each zone; without it, hosts only learn from each other. */
    private readonly source: SimulatedSource | null = null,
    /** By default a host only records what it receives. */
    private readonly makeDecisions: MakeDecisions = () => ({}),
  ) {}

  /** Starts a host, or restarts it without its previous state. */
  start(id: string, zone: string, ip: string, isFirstStart = true): SimulatedHost {
    this.hosts.get(id)?.exchange.close();
    this.hosts.get(id)?.freshness.close();
    this.hosts.get(id)?.reader?.close();
    this.nextIncarnation += 1;
    const address = { id, zone, ip };
    const ledger = new Ledger();
    const reports: TargetReport[] = [];
    const link: DatagramLink = {
      send: (to, bytes) => this.send(address, to, bytes),
      onDatagram: (listener) => {
        this.listeners.set(ip, listener);
      },
      close: () => Promise.resolve(),
    };
    const inFlightTable = new InFlightTable(this.clock);
    const crashTable = new CrashTable(this.clock);
    const targetStates = new TargetStatisticsTable(this.clock, inFlightTable, () => {});
    ledger.onChange((catalog) => targetStates.applyCatalog(catalog));
    const inFlightBroadcaster = new InFlightBroadcaster(this.clock, id, {
      broadcastInFlightCounts: (counts, isCrossZone) =>
        this.hosts.get(id)!.exchange.broadcastInFlightCounts(counts, isCrossZone),
      neighbourCount: () => this.hosts.get(id)!.exchange.membership.neighbours().length,
      hasInFlightBroadcasts: () =>
        !isLargeZone(this.hosts.get(id)!.exchange.membership.neighbours().length),
    });
    const exchange: Exchange = this.makeExchange(() => exchange, {
      ...{ clock: this.clock, link, ledger, self: address, zones: this.zones },
      random: new SeededRandom(this.nextIncarnation),
      events: { emit: () => {} },
      tasks: new Supervisor(this.clock, () => {}),
      incarnation: this.nextIncarnation,
      seeds: this.seeds,
      sourceState: () => this.hosts.get(id)?.reader?.state() ?? 'idle',
      isLeaving: () => false,
      sharersOf: () => null,
      sharersOfKey: () => null,
      pull: (host, after) => this.pull(address, host, after),
      onReports: (received) => reports.push(...received),
      onInFlightCounts: (counts, shouldRebroadcast) => {
        for (const count of counts) inFlightTable.apply(count);
        if (shouldRebroadcast) inFlightBroadcaster.rebroadcast(counts);
      },
      answerProofRequest: (token) => this.hosts.get(id)!.freshness.answerRequest(token),
      onProofResponse: (response, fromIp) =>
        this.hosts.get(id)!.freshness.receiveResponse(response, fromIp),
      onQuotaMessage: () => {},
      notices: () => ({
        crashes: crashTable.histories(),
        leaving: targetStates.leavingTargets(),
      }),
      onNotices: ({ crashes, leaving }) => ({
        crashes: crashes.filter((history) => crashTable.apply(history)),
        leaving: leaving.filter((target) => targetStates.recordLeaving(target)),
      }),
    });
    const answers = new AnswerHistory(SHORTEST_OUTAGE_MS);
    const freshness = this.makeFreshness(address, ledger, exchange, answers);
    const host: SimulatedHost = {
      address,
      freshness,
      inFlightTable,
      inFlightBroadcaster,
      crashTable,
      targetStates,
      ledger,
      exchange,
      reports,
      reader: this.makeReader(id, { ledger, exchange, freshness, answers }, isFirstStart),
      sentBytes: 0,
      sentDatagrams: 0,
      isDown: false,
      pullsServed: 0,
    };
    this.hosts.set(id, host);
    this.hostsByIp.set(ip, host);
    exchange.start();
    freshness.start();
    void host.reader?.run();
    return host;
  }

  /** Stops a host without notice to the others. */
  kill(id: string): void {
    const host = this.hosts.get(id)!;
    host.isDown = true;
    host.exchange.close();
    host.freshness.close();
    host.reader?.close();
  }

  /** Advances simulated time, settling the promises of pulls in between. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.clock.now() + milliseconds;
    while (this.clock.now() < end) {
      this.clock.advanceTo(Math.min(end, this.clock.now() + 10));
      // Runs all callbacks of promises that have been settled.
      await new Promise(setImmediate);
    }
  }

  /** Hosts that are not down. */
  liveHosts(): readonly SimulatedHost[] {
    return [...this.hosts.values()].filter((host) => !host.isDown);
  }

  private makeExchange(exchange: () => Exchange, parts: ExchangeParts): Exchange {
    return new Exchange({ ...parts, ...this.makeDecisions(parts.self, parts.ledger, exchange) });
  }

  private makeFreshness(
    self: HostAddress,
    ledger: Ledger,
    exchange: Exchange,
    answers: AnswerHistory,
  ): Freshness {
    const { clock, source } = this;
    const time = () => clock.now();
    return new Freshness({
      ...{ clock, self, ledger, answers, membership: exchange.membership },
      applyMs: APPLY_MS,
      onOtherChange: (revision) => this.hosts.get(self.id)?.reader?.catchUp(revision),
      suspensionClock: new SuspensionClock(clock, { timeOfDay: time, sinceBoot: time }),
      random: new SeededRandom(this.nextIncarnation + 1_000_000),
      tasks: new Supervisor(clock, () => {}),
      events: { emit: () => {} },
      metrics: new SilentSink(),
      source: (source ?? new SimulatedSource(clock)).connect(self.id),
      isStrict: true,
      revocationMs: 5000,
      isReading: () => this.hosts.get(self.id)?.reader?.state() === 'reading',
      sendRequest: (hosts, token) => exchange.requestProof(hosts, token),
      broadcastChanges: (changes) => exchange.broadcastChanges(changes),
    });
  }

  private makeReader(
    id: string,
    {
      ledger,
      exchange,
      freshness,
      answers,
    }: Pick<SimulatedHost, 'ledger' | 'exchange' | 'freshness'> & { answers: AnswerHistory },
    isFirstStart: boolean,
  ): CatalogReader | null {
    if (this.source === null) return null;
    const { clock } = this;
    const startedAt = clock.now();
    return new CatalogReader({
      ...{ clock, ledger, random: new SeededRandom(this.nextIncarnation) },
      source: this.source.connect(id),
      events: { emit: () => {} },
      answers,
      removalApplyMs: APPLY_MS,
      mustRead: () =>
        mustRead({
          ...{ hostId: id, isStopping: false, isFirstStart },
          knowsConfiguration: ledger.catalog().configuration !== null,
          uptimeMs: clock.now() - startedAt,
          neighbours: exchange.membership
            .neighbours()
            .map((host) => ({ hostId: host.id, state: host.source })),
        }),
      onChanges: (changes) => exchange.broadcastChanges(changes),
      onRequest: () => freshness.beginRequest(),
      onStateChange: () => exchange.announce(),
    });
  }

  private send(from: HostAddress, toIp: string, bytes: Buffer): void {
    const sender = this.hosts.get(from.id);
    if (sender !== undefined) {
      sender.sentBytes += bytes.length;
      sender.sentDatagrams += 1;
    }
    this.onSend(bytes, from.id);
    const to = this.hostsByIp.get(toIp);
    if (to === undefined || to.isDown || this.isCut(from, to.address)) return;
    if (this.random.next() < this.lossRatio) return;
    const delay = to.address.zone === from.zone ? SAME_ZONE_LATENCY_MS : CROSS_ZONE_LATENCY_MS;
    const listener = this.listeners.get(toIp);
    this.clock.setTimer(this.clock.now() + delay, () => {
      if (!to.isDown) listener?.(bytes, from.ip);
    });
  }

  private async pull(
    from: HostAddress,
    to: HostAddress,
    after: number,
  ): Promise<CatalogChanges | null> {
    const host = this.hosts.get(to.id);
    if (host === undefined || host.isDown || this.isCut(from, to) || this.isCut(to, from))
      return null;
    if (host.pullsServed >= this.mostPullsServed) return null;
    if (this.random.next() < this.pullLossRatio) {
      await waitUntil(this.clock, this.clock.now() + PULL_TIMEOUT_MS);
      return null;
    }
    const text = encodeChanges(host.ledger.changesAfter(after), this.clock.now());
    if (this.transferMs > 0 && !(await this.transfer(host))) return null;
    return decodeChanges(text, this.clock.now());
  }

  // The transfers of a host share its link; false when one takes too long.
  private async transfer(host: SimulatedHost): Promise<boolean> {
    const startedAt = this.clock.now();
    host.pullsServed += 1;
    let leftMs = this.transferMs;
    while (leftMs > 0 && this.clock.now() - startedAt < PULL_TIMEOUT_MS) {
      await waitUntil(this.clock, this.clock.now() + 10);
      leftMs -= 10 / host.pullsServed;
    }
    host.pullsServed -= 1;
    return leftMs <= 0;
  }
}
