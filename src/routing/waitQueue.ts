import { type Waiter } from './waiter';

/** Waiting calls, ordered by rank and then by arrival. */
export class WaitQueue {
  private readonly byRank = new Map<number, Set<Waiter>>();

  private ranks: number[] = [];

  size = 0;

  add(waiter: Waiter): void {
    let group = this.byRank.get(waiter.rank);
    if (group === undefined) {
      group = new Set();
      this.byRank.set(waiter.rank, group);
      this.ranks = [...this.byRank.keys()].sort((left, right) => left - right);
    }
    group.add(waiter);
    this.size += 1;
  }

  /** Removes a waiter; returns false when it was not in the queue. */
  remove(waiter: Waiter): boolean {
    const removed = this.byRank.get(waiter.rank)?.delete(waiter) ?? false;
    if (removed) this.size -= 1;
    return removed;
  }

  /** Number of waiting calls that are served before a new call of this rank. */
  countAhead(rank: number): number {
    let count = 0;
    for (const [each, group] of this.byRank) if (each <= rank) count += group.size;
    return count;
  }

  /** The waiting calls in the order of service. */
  *inOrder(): Generator<Waiter> {
    for (const rank of this.ranks) yield* this.byRank.get(rank)!;
  }
}
