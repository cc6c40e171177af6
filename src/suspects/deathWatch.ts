import { type Clock } from '../runtime';

import { type Death } from './death';

// A target that refuses or returns later than this may have ended for other reasons.
const EVIDENCE_LIFETIME_MS = 10_000;
const LARGEST_LOST_CALLS = 1000;

interface LostCall {
  readonly death: Death;
  readonly countsUntil: number;
}

interface WatchedTarget {
  instance: string | null;
  lost: LostCall[];
}

/**
 * Finds out which targets died: a connection was lost without an answer, and then the target
 * refused a connection or answered with another instance identity.
 */
export class DeathWatch {
  private readonly targets = new Map<string, WatchedTarget>();

  constructor(
    private readonly clock: Clock,
    private readonly died: (death: Death) => void,
  ) {}

  /** The connection of a call was lost before its answer. */
  lost(death: Death): void {
    const { lost } = this.watched(death.target);
    if (lost.length >= LARGEST_LOST_CALLS) lost.shift();
    lost.push({ death, countsUntil: this.clock.now() + EVIDENCE_LIFETIME_MS });
  }

  /** The target took no connection: the calls that it lost shortly before count as deaths. */
  unreachable(target: string): void {
    const watched = this.targets.get(target);
    if (watched !== undefined) this.report(watched);
  }

  /** The target answered; the same instance as before shows that it did not die. */
  answered(target: string, instance: string | null): void {
    const watched = this.targets.get(target);
    if (watched === undefined) {
      if (instance !== null) this.watched(target).instance = instance;
      return;
    }
    if (instance === null || watched.instance === instance) {
      // A late answer of the same process would also clear calls that it lost by a reset alone.
      if (instance !== null && watched.lost.length > 0) watched.lost = [];
      return;
    }
    if (watched.instance !== null) this.report(watched);
    watched.instance = instance;
  }

  private report(watched: WatchedTarget): void {
    const { lost } = watched;
    watched.lost = [];
    const now = this.clock.now();
    for (const { death, countsUntil } of lost) if (now < countsUntil) this.died(death);
  }

  private watched(target: string): WatchedTarget {
    let watched = this.targets.get(target);
    if (watched === undefined) {
      watched = { instance: null, lost: [] };
      this.targets.set(target, watched);
    }
    return watched;
  }
}
