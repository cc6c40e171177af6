import { Ledger } from '../catalog';
import { type CallServer } from '../delivery';
import { EXCHANGE_EVENTS, UdpLink } from '../exchange';
import { type Supervisor } from '../lifecycle';
import { type Quotas } from '../quota';
import { type CatalogReader, type CatalogSource } from '../source';

import { Addresses } from './addresses';
import { type BalancerParts } from './balancerParts';
import { CallPath } from './callPath';
import { describeBalancer } from './describeBalancer';
import { BALANCER_EVENTS } from './events';
import { FleetKnowledge } from './fleetKnowledge';
import { makeQuotas } from './makeQuotas';
import { makeReader } from './makeReader';
import { openAddresses } from './openAddresses';
import { startTicks } from './startTicks';
import { superviseTasks } from './superviseTasks';

// Without the exchange a host knows neither the limits and crashes that others see nor how many they
// are, so that its calls could break what the hosts keep together. The other addresses serve hosts and
// operators, who have other hosts to ask.
const ADDRESSES_OF_CALLS = ['caller-address', 'exchange-port'];

/** One host of the system: everything that its process runs between start and stop. */
export class Balancer {
  readonly calls: CallServer;

  private readonly ledger = new Ledger();

  private readonly link: UdpLink;

  private readonly tasks: Supervisor;

  private readonly addresses: Addresses;

  private readonly knowledge: FleetKnowledge;

  private readonly quotas: Quotas;

  private readonly reader: CatalogReader;

  private readonly confirmationSource: CatalogSource;

  private readonly callPath: CallPath;

  /** Monotonic time by which the last answer must be sent; Infinity unless the host is stopping. */
  private stopDeadline = Infinity;

  private hasLoggedReady = false;

  private constructor(private readonly parts: BalancerParts) {
    const { clock, events, adapter, settings } = parts;
    const { ledger } = this;
    const tasks = superviseTasks(clock, events);
    this.tasks = tasks;
    const isStopping = () => this.isStopping();
    this.link = new UdpLink((error) =>
      events.emit(EXCHANGE_EVENTS.linkError, { reason: error.message }),
    );
    this.confirmationSource = adapter.openSource(settings.source, clock, events);
    this.knowledge = new FleetKnowledge(parts, {
      ...{ ledger, link: this.link, tasks, isStopping },
      confirmationSource: this.confirmationSource,
      sourceState: () => this.reader.state(),
      onOtherChange: (revision) => {
        if (!isStopping()) this.reader.catchUp(revision);
      },
      onQuotaMessage: (message, fromIp) => this.quotas.receive(message, fromIp),
    });
    this.quotas = makeQuotas(parts, { exchange: this.knowledge.exchange, isStopping });
    this.addresses = new Addresses({
      ...{ clock, events, tasks, onOpened: () => this.applyOpenedAddress() },
    });
    const { exchange, freshness, answers } = this.knowledge;
    this.reader = makeReader(parts, { ledger, exchange, freshness, answers, isStopping });
    this.callPath = new CallPath(parts, {
      catalog: () => ledger.catalog(),
      tasks,
      knowledge: this.knowledge,
      keys: parts.keys ?? this.knowledge.freshness,
      quotas: parts.quotas ?? this.quotas,
      stopDeadline: () => this.stopDeadline,
    });
    this.calls = this.callPath.calls;
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
    void this.tasks.run('announcing the stop', () => this.knowledge.exchange.announce());
  }

  private isStopping(): boolean {
    return this.stopDeadline !== Infinity;
  }

  private async open(): Promise<void> {
    const { parts, ledger, addresses, knowledge, callPath } = this;
    const { lifecycle } = parts;
    this.listenToLedger();
    await openAddresses(parts, {
      ...{ addresses, ledger, link: this.link, callerServer: this.calls.server },
      isReady: () => this.isReady(),
      describe: () => this.describe(),
    });
    lifecycle.own('connections to targets', () => callPath.closeConnections());
    lifecycle.own('probes', () => callPath.probes.close());
    knowledge.exchange.start();
    lifecycle.own('exchange', () => knowledge.exchange.close());
    knowledge.freshness.start();
    lifecycle.own('proofs', () => {
      knowledge.freshness.close();
      this.confirmationSource.close();
    });
    this.quotas.start();
    lifecycle.own('quotas', () => this.quotas.close());
    void this.tasks.run('catalog reader', () => this.reader.run());
    lifecycle.own('catalog reader', () => this.reader.close());
    const { probes } = callPath;
    lifecycle.own('turns', startTicks(parts, { ledger, knowledge, probes, addresses }));
  }

  private describe() {
    const { settings, clock } = this.parts;
    const { targetStates, subsets, exchange } = this.knowledge;
    return describeBalancer({
      ...{ settings, clock, targetStates, subsets },
      catalog: this.ledger.catalog(),
      hosts: exchange.membership.live(),
      source: { state: this.reader.state(), lastAnswerAt: this.reader.lastAnswerAt() },
      proof: this.knowledge.freshness.state(),
      isReady: this.isReady(),
      waitingFor: this.addresses.waitingFor(),
      quotas: this.quotas.describe(),
    });
  }

  private applyOpenedAddress(): void {
    // Other hosts learn of this one at once if it was the address of the exchange.
    this.knowledge.exchange.announce();
    this.logReadyOnce();
  }

  private logReadyOnce(): void {
    if (this.hasLoggedReady || !this.isReady()) return;
    this.hasLoggedReady = true;
    const sinceStartMs = Math.round(process.uptime() * 1000);
    this.parts.events.emit(BALANCER_EVENTS.ready, { sinceStartMs });
  }

  private listenToLedger(): void {
    this.knowledge.listenTo(this.ledger);
    this.ledger.onChange((catalog) => this.quotas.applyCatalog(catalog));
    this.callPath.listenTo(this.ledger);
    this.ledger.onChange((catalog) => {
      this.parts.events.emit(BALANCER_EVENTS.catalogChanged, {
        asOf: catalog.asOf,
        version: catalog.configuration?.version ?? null,
        routes: catalog.configuration?.routes.length ?? 0,
        targets: catalog.targets.size,
        zonesOut: [...catalog.zonesOut],
      });
      this.logReadyOnce();
    });
  }
}
