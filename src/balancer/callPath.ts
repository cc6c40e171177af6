import { type Catalog, type Ledger } from '../catalog';
import {
  type CallEnd,
  type CallQuotas,
  CallServer,
  CrashGuard,
  Delivery,
  MemoryAccount,
  Placer,
  ProbeTable,
  type RoutedCall,
} from '../delivery';
import { type KeyValidity } from '../freshness';
import { LastSlotSlowdowns, type LeavingTarget, WorkEstimates } from '../knowledge';
import { type Supervisor } from '../lifecycle';

import { type BalancerParts } from './balancerParts';
import { callShare, MIN_ASSUMED_HOSTS } from './callShare';
import { callerConnectionLimit, targetConnectionLimits } from './descriptorShares';
import { type FleetKnowledge } from './fleetKnowledge';
import { BALANCER_METRICS } from './metrics';
import { TenantLabels } from './tenantLabels';

const BYTES_PER_MEGABYTE = 1024 * 1024;
// Calls hold at most this share of the memory; the heap with all else takes the rest.
const CALL_MEMORY_SHARE = 1 / 4;

/** What calls need to know beside the targets. */
export interface CallPathSources {
  readonly catalog: () => Catalog;
  readonly tasks: Supervisor;
  readonly knowledge: FleetKnowledge;
  readonly keys: KeyValidity;
  readonly quotas: CallQuotas;
  /** Monotonic time by which the last answer must be sent; Infinity unless the host is stopping. */
  readonly stopDeadline: () => number;
}

/** The way of calls from callers to targets, and the health checks of the targets. */
export class CallPath {
  readonly calls: CallServer;

  readonly probes: ProbeTable;

  private readonly delivery: Delivery;

  private readonly tenantLabels = new TenantLabels();

  constructor(
    private readonly parts: BalancerParts,
    private readonly sources: CallPathSources,
  ) {
    const { clock, random, events, settings, adapter } = parts;
    const { catalog } = sources;
    const { protocol } = adapter;
    const memory = new MemoryAccount(
      settings['memory-limit-mb'] * BYTES_PER_MEGABYTE * CALL_MEMORY_SHARE,
    );
    this.probes = this.makeProbes();
    this.delivery = this.makeDelivery(memory);
    this.calls = new CallServer({
      ...{ clock, random, events, protocol, catalog, context: this.delivery },
      observer: { onEnd: (call, end, elapsedMs) => this.countCall(call, end, elapsedMs) },
      ...{ memory, keys: sources.keys, quotas: sources.quotas },
      configurationApplyMs: settings['configuration-apply-ms'],
      maxConnections: callerConnectionLimit(settings['descriptor-limit']),
    });
  }

  /** Takes over the targets and routes of each changed catalog. */
  listenTo(ledger: Ledger): void {
    for (const part of [this.delivery, this.probes, this.calls])
      ledger.onChange((catalog) => part.applyCatalog(catalog));
  }

  /** Closes the connections to targets. */
  closeConnections(): void {
    this.delivery.close();
  }

  private makeProbes(): ProbeTable {
    const { clock, adapter, metrics } = this.parts;
    const { catalog, tasks, knowledge } = this.sources;
    const { targetStates, subsets } = knowledge;
    return new ProbeTable(
      {
        ...{ clock, tasks, protocol: adapter.protocol, catalog, targetStates },
        onOpened: () => this.countConnection(),
        onReport: (report) => knowledge.applyAndBroadcast(report),
        onLeaving: (target) => this.tellLeaving(target),
        onProbe: () => metrics.increment(BALANCER_METRICS.probes),
      },
      {
        isProber: (target) => subsets.isProber(target.id),
        isUser: (target) => subsets.has(target.id),
      },
    );
  }

  private makePlacer(): Placer {
    const { clock, random, settings } = this.parts;
    const { catalog, knowledge, stopDeadline } = this.sources;
    const { zone } = settings;
    return new Placer({
      ...{ clock, random, catalog, zone, targetStates: knowledge.targetStates },
      work: new WorkEstimates(),
      lastSlotSlowdowns: new LastSlotSlowdowns(),
      preference: knowledge.subsets,
      isConnected: (target) => this.delivery.isConnected(target),
      callShare: (target, rate) =>
        stopDeadline() !== Infinity
          ? 0
          : callShare(target.id, target.zone === zone, rate, knowledge.fleetSize(target.id)),
    });
  }

  private makeCrashGuard(): CrashGuard {
    const { clock, events } = this.parts;
    const { exchange, crashTable, targetStates } = this.sources.knowledge;
    return new CrashGuard(
      clock,
      crashTable,
      events,
      { broadcastCrashes: (history) => exchange.broadcastNotices({ crashes: [history] }) },
      (target, at) => (targetStates.get(target)?.lostAt ?? Infinity) > at,
    );
  }

  private makeDelivery(memory: MemoryAccount): Delivery {
    const { clock, random, events, settings, adapter, metrics } = this.parts;
    const { catalog, knowledge, stopDeadline } = this.sources;
    const { targetStates, exchange } = knowledge;
    return new Delivery({
      connectionLimits: targetConnectionLimits(settings['descriptor-limit']),
      ...{ memory, clock, random, events, catalog, targetStates, stopDeadline },
      protocol: adapter.protocol,
      keys: this.sources.keys,
      placer: this.makePlacer(),
      crashes: this.makeCrashGuard(),
      retryBudgetLimits: {
        ratio: settings['retry-ratio'],
        slack: settings['retry-slack'],
        windowMs: settings['retry-window-s'] * 1000,
      },
      hostCount: () => Math.max(MIN_ASSUMED_HOSTS, exchange.membership.maxLiveHostCount()),
      onReport: (report) => knowledge.applyAndBroadcast(report),
      onUnexpectedClose: (target) => this.probes.check(target),
      onLeaving: (target) => this.tellLeaving(target),
      counters: {
        attempt: (service) => metrics.increment(BALANCER_METRICS.attempts, 1, { service }),
        retry: (service) => metrics.increment(BALANCER_METRICS.retries, 1, { service }),
        yielded: (service) => metrics.increment(BALANCER_METRICS.yields, 1, { service }),
        turn: (service) => metrics.increment(BALANCER_METRICS.turns, 1, { service }),
        connection: () => this.countConnection(),
        attemptTime: (service, milliseconds) =>
          metrics.timing(BALANCER_METRICS.attemptTime, milliseconds, { service }),
      },
    });
  }

  private tellLeaving(target: LeavingTarget): void {
    this.sources.knowledge.exchange.broadcastNotices({ leaving: [target] });
  }

  private countConnection(): void {
    this.parts.metrics.increment(BALANCER_METRICS.connections);
  }

  private countCall(call: RoutedCall | null, end: CallEnd, elapsedMs: number): void {
    const { metrics } = this.parts;
    const route = call?.route.name ?? 'none';
    const outcome = end.kind === 'own' ? end.own.kind : end.kind;
    metrics.increment(BALANCER_METRICS.calls, 1, { route, outcome });
    metrics.timing(BALANCER_METRICS.callTime, elapsedMs, { route });
    if (end.kind === 'own' && end.own.kind === 'rejected' && end.own.status === 401)
      metrics.increment(BALANCER_METRICS.unauthorized);
    if (call === null) return;
    this.countRefusal(call, end);
    if (call.tenant === null) return;
    const tenant = this.tenantLabels.of(call.tenant.name);
    metrics.increment(BALANCER_METRICS.tenantCalls, 1, { tenant, outcome });
  }

  private countRefusal(call: RoutedCall, end: CallEnd): void {
    if (end.kind !== 'own' || end.own.kind !== 'notRun') return;
    const rank = this.delivery.placer.rankOf(call).toFixed(2);
    this.parts.metrics.increment(BALANCER_METRICS.refusals, 1, { reason: end.own.reason, rank });
  }
}
