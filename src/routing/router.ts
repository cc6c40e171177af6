import { type Fleet, type FleetView } from '../fleet';
import { type Clock, type Random } from '../runtime';

import { type CallTraits } from './callTraits';
import { type Choice } from './choice';
import { type PoolState } from './poolState';
import { ServicePool } from './servicePool';

/** Chooses the owner that runs a call, and holds the pools of the targets owned here. */
export class Router {
  private readonly pools = new Map<string, ServicePool>();

  private readonly ownerStates = new Map<string, PoolState>();

  constructor(
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    const view = fleet.view();
    if (view !== null) this.applyView(view);
  }

  /** Adjusts the pools to a new view. */
  applyView(view: FleetView): void {
    for (const service of view.sheet.services.keys()) {
      const targets = [...view.owned.values()]
        .filter((owned) => owned.target.service === service && owned.inService)
        .map((owned) => owned.target);
      this.pool(service).setTargets(targets);
    }
  }

  /** The pool of the service's targets that this host owns; it may be empty. */
  pool(service: string): ServicePool {
    let pool = this.pools.get(service);
    if (pool === undefined) {
      pool = new ServicePool(this.clock, () => this.viewIsCurrent());
      this.pools.set(service, pool);
    }
    return pool;
  }

  /** True while this host may act on its view. */
  viewIsCurrent(): boolean {
    return this.clock.now() < this.fleet.viewDeadline();
  }

  /** The owner to send a call to, other than the hosts in `exclude`; null when there is none. */
  choose(call: CallTraits, exclude: ReadonlySet<string>): Choice | null {
    const view = this.fleet.view();
    if (view === null) return null;
    const owners = (view.owners.get(call.service) ?? []).filter(
      (owner) => !exclude.has(owner.host.host),
    );
    if (owners.length === 0) return null;
    const owner = owners[this.random.integer(owners.length)]!;
    return {
      owner,
      own: owner.host.host === view.hostId,
      reason: 'random owner',
      candidates: owners.length,
    };
  }

  /** Learns the load of another owner from a relayed answer. */
  learn(service: string, hostId: string, state: PoolState): void {
    this.ownerStates.set(`${service} ${hostId}`, state);
  }
}
