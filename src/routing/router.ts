import { type Fleet, type FleetView, type OwnedTarget } from '../fleet';
import { type Clock, type Random } from '../runtime';

import { type CallTraits } from './callTraits';
import { type Choice } from './choice';
import { DirectPool } from './directPool';
import { Invariants } from './invariants';
import { judgeProbe } from './judgeProbe';
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

/** Chooses the owner that runs a call, and holds the pools of the targets owned here. */
export class Router {
  /** Rules checked at run time, with the count of violations. */
  readonly invariants = new Invariants();

  private readonly pools = new Map<string, ServicePool>();

  private readonly directPools = new Map<string, DirectPool>();

  private readonly owners = new Map<string, OwnerTable>();

  /** Service of each owned target, by target id. */
  private serviceOf = new Map<string, string>();

  private listedAsLeaving: ReadonlySet<string> = new Set();

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

  /** Adjusts the pools and the lists of owners to a new view. */
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

  /** Takes over the host list; targets that it lists as leaving get no new call. */
  applyHostList(states: ReadonlyMap<string, 'live' | 'leaving'>): void {
    this.listedAsLeaving = new Set(
      [...states].filter(([, state]) => state === 'leaving').map(([id]) => id),
    );
    for (const pool of this.pools.values()) this.markLeaving(pool);
  }

  /** The pool of the service's targets to which this host may send calls; it may be empty. */
  pool(service: string): TargetPool {
    return this.policy.direct === null ? this.ownedPool(service) : this.directPool(service);
  }

  /** True while this host may act on its view. */
  viewIsCurrent(): boolean {
    return this.clock.now() < this.fleet.viewDeadline();
  }

  /** The owner to send a call to, other than the hosts in `exclude`; null when there is none. */
  choose(call: CallTraits, exclude: ReadonlySet<string>): Choice | null {
    const table = this.owners.get(call.service);
    if (table === undefined) return null;
    if (this.policy.direct !== null) return this.chooseDirect(call, exclude);
    const now = this.clock.now();
    const { own } = table;
    if (own !== null && !exclude.has(own.owner.host.host)) {
      const pool = this.ownedPool(call.service);
      if (pool.hasRoomFor(call)) return this.choiceOf(own, 'own target is free', table.size);
      table.learn(own.owner.host.host, pool.state(), now);
    }
    const drawn = table.draw(call, exclude, now);
    return drawn === null ? null : this.choiceOf(drawn.candidate, drawn.reason, table.size);
  }

  /** Learns the load of another owner from a relayed answer. */
  learn(service: string, hostId: string, state: PoolState): void {
    this.owners.get(service)?.learn(hostId, state, this.clock.now());
    this.reportMedian(service, hostId, state.medianMs);
  }

  /** Takes the median answer time of a service that another host told with a relay. */
  reportMedian(service: string, hostId: string, medianMs: number): void {
    if (this.owners.has(service)) this.ownedPool(service).reportMedian(hostId, medianMs);
  }

  /** Median answer time of a service in milliseconds, 0 when not known; sent along with relays. */
  medianMs(service: string): number {
    return this.pools.get(service)?.medianMs() ?? 0;
  }

  /**
   * Slots that the owners of a service can use in a zone: limits of open targets here, and for
   * other owners their slots unless they last told that they can use none.
   */
  usableSlots(service: string, zone: string): number {
    const now = this.clock.now();
    const own = (this.pools.get(service)?.owned() ?? [])
      .filter((state) => state.target.zone === zone && state.isOpen(now) && !state.outage.active)
      .reduce((sum, state) => sum + state.limit(now), 0);
    return own + (this.owners.get(service)?.usableSlots(zone, now) ?? 0);
  }

  /** State of a target for its next owner; null when nothing is known of it here. */
  describeTarget(targetId: string): TargetDescription | null {
    for (const pool of this.pools.values()) {
      const state = pool.target(targetId);
      if (state !== undefined) return state.describe(this.clock.now());
    }
    return null;
  }

  /** State of a target owned here; undefined when it is owned by another host. */
  ownedTarget(targetId: string): TargetState | undefined {
    const service = this.serviceOf.get(targetId);
    return service === undefined ? undefined : this.pools.get(service)?.target(targetId);
  }

  /** Ids of the targets owned here. */
  ownedTargetIds(): IterableIterator<string> {
    return this.serviceOf.keys();
  }

  /** Takes the answer of a probe; answers for targets that moved away are dropped. */
  applyProbe(targetId: string, answer: ProbeAnswer): void {
    const state = this.ownedTarget(targetId);
    if (state === undefined) return;
    judgeProbe(state, answer, this.clock.now());
    this.ownedPool(state.target.service).targetsChanged();
  }

  private applyService(service: string, view: FleetView, owned: readonly OwnedTarget[]): void {
    const pool = this.ownedPool(service);
    pool.setTargets(owned);
    this.markLeaving(pool);
    if (this.policy.direct !== null) {
      this.directPool(service).setTargets(view.sheet.targetsOf.get(service) ?? []);
    }
    let table = this.owners.get(service);
    if (table === undefined) {
      table = new OwnerTable(this.random);
      this.owners.set(service, table);
    }
    table.apply(view.owners.get(service) ?? [], {
      hostId: view.hostId,
      zone: view.sheet.hosts.get(view.hostId)?.zone ?? '',
      members: Math.max(1, view.record.members.length),
    });
  }

  private markLeaving(pool: ServicePool): void {
    let changed = false;
    for (const state of pool.owned()) {
      const leaving = this.listedAsLeaving.has(state.target.target);
      if (leaving === state.listedAsLeaving) continue;
      state.listedAsLeaving = leaving;
      if (!leaving) state.ramp.turnCold(this.clock.now());
      changed = true;
    }
    if (changed) pool.targetsChanged();
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

  private choiceOf(candidate: OwnerCandidate, reason: string, candidates: number): Choice {
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
