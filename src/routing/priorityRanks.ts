import { type Sheet } from '../sheet';

// Classes that the sheet does not list are served last.
const UNLISTED_RANK = 101;
const MAX_RESERVED_SHARE = 0.9;

/** Ranks of the priority classes according to the sheet, which has separate ranks for rain. */
export class PriorityRanks {
  private readonly ranks = new Map<string, number>();

  private readonly topRank: number;

  /** Share of a pool's slots reserved for classes of the top rank; 0 without rain. */
  readonly reservedShare: number;

  constructor(sheet: Sheet | null) {
    let top = Number.POSITIVE_INFINITY;
    let reserved = 0;
    for (const priority of sheet?.priorities.values() ?? []) {
      const rank = sheet!.rain ? priority.rain_rank : priority.rank;
      this.ranks.set(priority.class, rank);
      if (rank < top) reserved = 0;
      if (rank <= top) reserved += priority.reserved_percent / 100;
      top = Math.min(top, rank);
    }
    this.topRank = top;
    this.reservedShare = sheet?.rain ? Math.min(reserved, MAX_RESERVED_SHARE) : 0;
  }

  rankOf(priorityClass: string): number {
    return this.ranks.get(priorityClass) ?? UNLISTED_RANK;
  }

  isTop(rank: number): boolean {
    return rank <= this.topRank;
  }
}
