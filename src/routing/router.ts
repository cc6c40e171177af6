import { type Fleet, type FleetView, type OwnedTarget } from '../fleet';
import { type Clock, type Random } from '../runtime';

import { type CallTraits } from './callTraits';
import { type Choice } from './choice';
import { DirectPool } from './directPool';
import { Invariants } from './invariants';
import { applyProbeAnswer } from './applyProbeAnswer';
import { type OwnerCandidate } from './ownerCandidate';
import { OwnerTable } from './ownerTable';
import { type PoolState } from './poolState';
import { POLICIES, type Policy, type PolicyName } from './policies';
import { PriorityRanks } from './priorityRanks';
import { type ProbeAnswer } from './probeAnswer';
import { ServicePool } from './servicePool';
import { type TargetDescription } from './targetDescription';
import { type TargetPool } from './targetPool';
import { type TargetState } from './targetState';

/** Chooses the owner for a call, and holds the pools of the targets that this host owns. */
export class Router {
  /** Invariants checked at run time, with the count of violations. */
  readonly invariants = new Invariants();

  private readonly pools = new Map<string, ServicePool>();

  private readonly directPools = new Map<string, DirectPool>();

  private readonly ownerTables = new Map<string, OwnerTable>();

  /** Service of each owned target, by target id. */
  private serviceOf = new Map<string, string>();

  private leavingTargetIds: ReadonlySet<string> = new Set();

  private ranks = new PriorityRanks(null);

  private readonly policy: Policy;

  constructor(
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly random: Random,
    policy: PolicyName = 'owner',
  ) {
    this.policy = POLICIES[policy];
    const view = fleet.view();
    if (view !== null) this.applyView(view);
  }

  /** Updates the pools and the owner tables to a new view. */
  applyView(view: FleetView): void {
    this.ranks = new PriorityRanks(view.sheet);
    const owned = new Map<string, OwnedTarget[]>();
    this.serviceOf = new Map();
    for (const each of view.owned.values()) {
      const { service, target } = each.target;
      this.serviceOf.set(target, service);
      const group = owned.get(service);
      if (group === undefined) owned.set(service, [each]);
      else group.push(each);
    }
    const services = new Set([...this.pools.keys(), ...view.sheet.services.keys()]);
    for (const service of services) this.applyService(service, view, owned.get(service) ?? []);
  }

  /** Applies the host list; targets that it lists as leaving get no new calls. */
  applyHostList(states: ReadonlyMap<string, 'live' | 'leaving'>): void {
    this.leavingTargetIds = new Set(
      [...states].filter(([, state]) => state === 'leaving').map(([id]) => id),
    );
    for (const pool of this.pools.values()) this.markLeaving(pool);
  }

  /** The pool of the targets of a service to which this host may send calls; it may be empty. */
  pool(service: string): TargetPool {
    return this.policy.direct === null ? this.ownedPool(service) : this.directPool(service);
  }

  /** True until the deadline of this host's view of the fleet. */
  viewIsCurrent(): boolean {
    return this.clock.now() < this.fleet.viewDeadline();
  }

  /** The owner to send a call to, except the hosts in `exclude`; null when there is none. */
  choose(call: CallTraits, exclude: ReadonlySet<string>): Choice | null {
    const table = this.ownerTables.get(call.service);
    if (table === undefined) return null;
    if (this.policy.direct !== null) return this.chooseDirect(call, exclude);
    const now = this.clock.now();
    const { own } = table;
    if (own !== null && !exclude.has(own.owner.host.host)) {
      const pool = this.ownedPool(call.service);
      if (pool.hasFreeSlotFor(call)) return this.toChoice(own, 'own target is free', table.size);
      table.applyReport(own.owner.host.host, pool.state(), now);
    }
    const chosen = table.choose(call, exclude, now);
    return chosen === null ? null : this.toChoice(chosen.candidate, chosen.reason, table.size);
  }

  /** Applies the pool state that another owner sent with a relayed answer. */
  applyPoolState(service: string, hostId: string, state: PoolState): void {
    this.ownerTables.get(service)?.applyReport(hostId, state, this.clock.now());
    this.applyMedian(service, hostId, state.medianMs);
  }

  /** Applies the median answer time of a service that another host sent with a relayed call. */
  applyMedian(service: string, hostId: string, medianMs: number): void {
    if (this.ownerTables.has(service)) this.ownedPool(service).applyMedian(hostId, medianMs);
  }

  /** Median answer time of a service in milliseconds, 0 when not known; sent with relayed calls. */
  medianMs(service: string): number {
    return this.pools.get(service)?.medianMs() ?? 0;
  }

  /**
   * Usable slots of a service in a zone: the limits of this host's open targets, and the slots of
   * the other owners except those that last reported no usable slots.
   */
  usableSlots(service: string, zone: string): number {
    const now = this.clock.now();
    const own = (this.pools.get(service)?.owned() ?? [])
      .filter((state) => state.target.zone === zone && state.isOpen(now) && !state.outage.isActive)
      .reduce((sum, state) => sum + state.limit(now), 0);
    return own + (this.ownerTables.get(service)?.usableSlots(zone, now) ?? 0);
  }

  /** State of a target for its next owner; null when this host has no state of it. */
  describeTarget(targetId: string): TargetDescription | null {
    for (const pool of this.pools.values()) {
      const state = pool.target(targetId);
      if (state !== undefined) return state.describe(this.clock.now());
    }
    return null;
  }

  /** State of a target that this host owns; undefined for other targets. */
  ownedTarget(targetId: string): TargetState | undefined {
    const service = this.serviceOf.get(targetId);
    return service === undefined ? undefined : this.pools.get(service)?.target(targetId);
  }

  /** Ids of the targets that this host owns. */
  ownedTargetIds(): IterableIterator<string> {
    return this.serviceOf.keys();
  }

  /** Applies the answer to a probe; it is dropped when another host owns the target by now. */
  applyProbe(targetId: string, answer: ProbeAnswer): void {
    const state = this.ownedTarget(targetId);
    if (state === undefined) return;
    applyProbeAnswer(state, answer, this.clock.now());
    this.ownedPool(state.target.service).onTargetsChanged();
  }

  private applyService(service: string, view: FleetView, owned: readonly OwnedTarget[]): void {
    const pool = this.ownedPool(service);
    pool.setTargets(owned);
    this.markLeaving(pool);
    if (this.policy.direct !== null) {
      this.directPool(service).setTargets(view.sheet.targetsOf.get(service) ?? []);
    }
    let table = this.ownerTables.get(service);
    if (table === undefined) {
      table = new OwnerTable(this.random);
      this.ownerTables.set(service, table);
    }
    table.apply(view.owners.get(service) ?? [], {
      hostId: view.hostId,
      zone: view.sheet.hosts.get(view.hostId)?.zone ?? '',
      memberCount: Math.max(1, view.record.members.length),
    });
  }

  private markLeaving(pool: ServicePool): void {
    let hasChanged = false;
    for (const state of pool.owned()) {
      const isLeaving = this.leavingTargetIds.has(state.target.target);
      if (isLeaving === state.isListedAsLeaving) continue;
      state.isListedAsLeaving = isLeaving;
      if (!isLeaving) state.warmUp.turnCold(this.clock.now());
      hasChanged = true;
    }
    if (hasChanged) pool.onTargetsChanged();
  }

  private chooseDirect(call: CallTraits, exclude: ReadonlySet<string>): Choice | null {
    const view = this.fleet.view();
    const host = view?.sheet.hosts.get(view.hostId);
    if (view === null || host === undefined || exclude.has(host.host)) return null;
    const targets = view.sheet.targetsOf.get(call.service) ?? [];
    return {
      owner: { host, targets, slots: 0 },
      own: true,
      reason: 'comparison policy',
      candidates: targets.length,
      begin: () => () => {},
    };
  }

  private toChoice(candidate: OwnerCandidate, reason: string, candidates: number): Choice {
    const { owner, own } = candidate;
    return { owner, own, reason, candidates, begin: () => candidate.begin(() => this.clock.now()) };
  }

  private ownedPool(service: string): ServicePool {
    let pool = this.pools.get(service);
    if (pool === undefined) {
      pool = new ServicePool({
        clock: this.clock,
        random: this.random,
        invariants: this.invariants,
        viewIsCurrent: () => this.viewIsCurrent(),
        ranks: () => this.ranks,
      });
      this.pools.set(service, pool);
    }
    return pool;
  }

  private directPool(service: string): DirectPool {
    let pool = this.directPools.get(service);
    if (pool === undefined) {
      pool = new DirectPool(this.policy.direct!, this.clock, this.random);
      this.directPools.set(service, pool);
    }
    return pool;
  }
}
