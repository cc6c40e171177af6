import { type Clock } from '../runtime';

import { type TargetCrash } from './targetCrash';

// A target that refuses connections or restarts later than this may have stopped for other reasons.
const EVIDENCE_LIFETIME_MS = 10_000;
const MAX_LOST_CALLS = 1000;

interface LostCall {
  readonly crash: TargetCrash;
  readonly expiresAt: number;
}

interface WatchedTarget {
  instance: string | null;
  lostCalls: LostCall[];
}

/**
 * Detects crashed targets: a connection was lost without an answer, and afterwards the target
 * refused a connection or answered with another instance identity.
 */
export class CrashDetector {
  private readonly targets = new Map<string, WatchedTarget>();

  constructor(
    private readonly clock: Clock,
    private readonly onCrash: (crash: TargetCrash) => void,
  ) {}

  /** Records that the connection of a call was lost before its answer. */
  connectionLost(crash: TargetCrash): void {
    const { lostCalls } = this.getOrCreate(crash.target);
    if (lostCalls.length >= MAX_LOST_CALLS) lostCalls.shift();
    lostCalls.push({ crash, expiresAt: this.clock.now() + EVIDENCE_LIFETIME_MS });
  }

  /** The target refused a connection, so that the calls it recently lost count as crashes. */
  targetUnreachable(target: string): void {
    const watched = this.targets.get(target);
    if (watched !== undefined) this.reportCrashes(watched);
  }

  /** The target answered; an unchanged instance shows that it did not crash. */
  targetAnswered(target: string, instance: string | null): void {
    const watched = this.targets.get(target);
    if (watched === undefined) {
      if (instance !== null) this.getOrCreate(target).instance = instance;
      return;
    }
    if (instance === null || watched.instance === instance) {
      // A late answer of the same process also clears calls that were lost by a mere reset.
      if (instance !== null && watched.lostCalls.length > 0) watched.lostCalls = [];
      return;
    }
    if (watched.instance !== null) this.reportCrashes(watched);
    watched.instance = instance;
  }

  private reportCrashes(watched: WatchedTarget): void {
    const { lostCalls } = watched;
    watched.lostCalls = [];
    const now = this.clock.now();
    for (const { crash, expiresAt } of lostCalls) if (now < expiresAt) this.onCrash(crash);
  }

  private getOrCreate(target: string): WatchedTarget {
    let watched = this.targets.get(target);
    if (watched === undefined) {
      watched = { instance: null, lostCalls: [] };
      this.targets.set(target, watched);
    }
    return watched;
  }
}
