import { PassedOver } from './passedOver';

/** The rank and the tenant of a call, which take turns in a wait queue. */
export interface TurnKeys {
  /** Rank among the priorities of the service; 0 is the most urgent. */
  readonly rank: number;
  /** Name of the tenant; calls without one count as those of one tenant. */
  readonly tenant: string | null;
}

// Each rank that waits gets at least one in this many placements.
const PLACEMENTS_PER_RANK = 8;
// The requirement is a quarter of the mean; a third leaves room for the turns of ranks.
const TENANT_SHARE_OF_MEAN = 1 / 3;
// A tenant that was placed before so many others counts as not placed yet.
const MAX_REMEMBERED_TENANTS = 1000;

/**
 * Whose turn it is among the ranks and tenants whose calls wait. Load pattern: calls of one rank, or of
 * one tenant, that arrive faster than slots end would keep all others waiting until they are late.
 */
export class WaitTurns {
  // Several ranks may be due at once; the last of them still gets one in eight placements.
  private readonly ranks = new PassedOver<number>((keys) => PLACEMENTS_PER_RANK + 1 - keys);

  private readonly tenants = new PassedOver<string | null>(
    (keys) => keys / TENANT_SHARE_OF_MEAN - 1,
  );

  /** Sequence numbers of the last placements of tenants, the oldest first. */
  private readonly lastPlacements = new Map<string | null, number>();

  private placements = 0;

  /** Records that a call begins to wait. */
  add({ rank, tenant }: TurnKeys): void {
    this.ranks.add(rank);
    this.tenants.add(tenant);
  }

  /** Records that a call no longer waits. */
  remove({ rank, tenant }: TurnKeys): void {
    this.ranks.remove(rank);
    this.tenants.remove(tenant);
  }

  /** Records that a call is placed, whether it has waited or not. */
  recordPlaced({ rank, tenant }: TurnKeys): void {
    this.ranks.recordPlaced(rank);
    this.tenants.recordPlaced(tenant);
    this.placements += 1;
    this.lastPlacements.delete(tenant);
    this.lastPlacements.set(tenant, this.placements);
    if (this.lastPlacements.size <= MAX_REMEMBERED_TENANTS) return;
    const [oldest] = this.lastPlacements.keys();
    this.lastPlacements.delete(oldest!);
  }

  /** Order of the tenants of one rank: the one that was placed longest ago is the next. */
  lastPlacement(tenant: string | null): number {
    return this.lastPlacements.get(tenant) ?? 0;
  }

  /** The rank or tenant that must have the next placement; null while none has waited too long. */
  due(): Partial<TurnKeys> | null {
    const rank = this.ranks.due();
    if (rank !== undefined) return { rank };
    const tenant = this.tenants.due();
    return tenant === undefined ? null : { tenant };
  }
}
