import { type Clock } from '../runtime';

// A host sends 2 to 10 calls a second, so that a shorter time would leave too few calls for a mix.
const HALF_LIFE_MS = 5000;

/** The work that this host has sent to one service recently, by rank. */
export class SentWork {
  private readonly workByRank = new Map<number, number>();

  private updatedAt: number;

  constructor(private readonly clock: Clock) {
    this.updatedAt = clock.now();
  }

  /** Records a call of `workMs` milliseconds that is sent to a target. */
  record(rank: number, workMs: number): void {
    const now = this.clock.now();
    const kept = 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
    for (const [other, work] of this.workByRank) this.workByRank.set(other, work * kept);
    this.workByRank.set(rank, (this.workByRank.get(rank) ?? 0) + workMs);
  }

  /** Share of the work that was sent for calls more urgent than `rank`, from 0 to 1. */
  shareAbove(rank: number): number {
    let above = 0;
    let total = 0;
    for (const [other, work] of this.workByRank) {
      total += work;
      if (other < rank) above += work;
    }
    return total === 0 ? 0 : above / total;
  }
}
