import { type Ledger } from '../../src/catalog';
import { type Exchange, type ExchangeParts, type HostAddress } from '../../src/exchange';
import { identityKey, TargetSubsets } from '../../src/knowledge';
import { MIN_ASSUMED_HOSTS } from '../../src/balancer/callShare';
import { ModelConnections, ModelHost, type ModelTarget } from '../../standins/fleet';
import { type ModelEnvironment } from '../../standins/fleet/modelHost';

// A target that no host has confirmed is checked at this interval, as by `ProbeTable`.
const CONFIRM_INTERVAL_MS = 400;

type Surroundings = Pick<
  ModelEnvironment,
  'clock' | 'random' | 'targets' | 'workMsOf' | 'oneWayDelayMs' | 'onArrival' | 'onLeaving'
>;

/** Dependencies of a networked host. */
export interface NetworkedHostParts extends Surroundings {
  /** Name of this start of the host. */
  readonly name: string;
  readonly address: HostAddress;
  readonly ledger: Ledger;
  readonly exchange: () => Exchange;
  /** Whether hosts tell each other which targets are leaving. */
  readonly hasNotices: boolean;
  /** Time for which it keeps an idle connection to a target. */
  readonly idleMs?: number | undefined;
}

/** A modelled host whose knowledge comes from messages of a simulated network. */
export class NetworkedHost {
  readonly name: string;

  readonly zone: string;

  readonly startedAt: number;

  readonly model: ModelHost;

  readonly connections: ModelConnections;

  readonly subsets: TargetSubsets;

  private isDown = false;

  private readonly nextCheckAt = new Map<string, number>();

  constructor(private readonly parts: NetworkedHostParts) {
    const { address, ledger, exchange } = parts;
    this.name = parts.name;
    this.zone = address.zone;
    this.startedAt = parts.clock.now();
    const membership = () => exchange().membership;
    const hosts = () => [
      address.id,
      ...membership()
        .neighbours()
        .map(({ id }) => id),
    ];
    this.subsets = new TargetSubsets({ hostId: address.id, zone: address.zone, hosts });
    this.connections = new ModelConnections(parts.clock, parts.idleMs);
    this.model = new ModelHost(address.id, address.zone, {
      ...parts,
      connections: this.connections,
      subsets: this.subsets,
      catalog: () => ledger.catalog(),
      hostCount: () => Math.max(MIN_ASSUMED_HOSTS, membership().maxLiveHostCount()),
      neighbourCount: () => membership().neighbours().length,
      zoneHosts: hosts,
      broadcastReports: (reports, isCrossZone) => {
        if (!this.isDown) exchange().broadcastReports(reports, isCrossZone);
      },
      broadcastInFlightCounts: (counts, isCrossZone) => {
        if (!this.isDown) exchange().broadcastInFlightCounts(counts, isCrossZone);
      },
      onLeaving: (target) => {
        parts.onLeaving?.(target);
        if (parts.hasNotices && !this.isDown) exchange().broadcastNotices({ leaving: [target] });
      },
    });
    ledger.onChange((catalog) => this.model.applyCatalog(catalog));
  }

  /** Whether callers send calls to this host. */
  isReady(): boolean {
    return !this.isDown && this.parts.ledger.catalog().configuration !== null;
  }

  /** What the exchange of this host does with messages. */
  exchangeParts(): Partial<ExchangeParts> {
    const { targetStates, inFlightCounts, inFlightBroadcaster } = this.model;
    const ownKey = identityKey(this.parts.address.id);
    return {
      sharersOf: (target) => this.subsets.sharersOf(target),
      sharersOfKey: (key) => this.subsets.sharersOfKey(key),
      onReports: (reports) => {
        for (const report of reports) this.model.receive(report);
      },
      onInFlightCounts: (counts, shouldRebroadcast) => {
        const others = counts.filter(({ host }) => host !== ownKey);
        for (const count of others) inFlightCounts.apply(count);
        if (shouldRebroadcast) inFlightBroadcaster.rebroadcast(others);
      },
      notices: () => ({
        crashes: [],
        leaving: this.parts.hasNotices ? targetStates.leavingTargets() : [],
      }),
      onQuotaMessage: () => {},
      onNotices: ({ leaving }) => ({
        crashes: [],
        leaving: leaving.filter((target) => targetStates.recordLeaving(target)),
      }),
    };
  }

  /** Periodic work of a host. */
  tick(): void {
    this.model.inFlightCounts.removeExpired();
    this.model.inFlightBroadcaster.refresh();
    this.subsets.refresh();
    for (const target of this.parts.targets.values()) this.confirmIfNeeded(target);
  }

  /** Ends the process of the host. */
  stop(): void {
    this.isDown = true;
    this.model.stop();
  }

  private confirmIfNeeded(target: ModelTarget): void {
    const { id } = target.target;
    const { clock } = this.parts;
    const state = this.model.targetStates.get(id);
    if (state === undefined || state.lostAt <= state.confirmedHealthyAt) return;
    if (!this.subsets.has(id) || clock.now() < (this.nextCheckAt.get(id) ?? 0)) return;
    this.nextCheckAt.set(id, clock.now() + CONFIRM_INTERVAL_MS);
    this.model.probe(target);
  }
}
