import { type Clock } from '../runtime';

import { type TargetCrash } from './targetCrash';
import { type CallIdentity, fingerprintOf, routeOf } from './fingerprint';

/** Number of crashes after which a call is refused. */
export const SUSPECT_CRASHES_TO_REFUSE = 2;

const SUSPECT_LIFETIME_MS = 30 * 60 * 1000;
const MAX_SUSPECTS = 10_000;

interface Suspect {
  readonly route: string;
  readonly firstCrash: TargetCrash;
  /** Call id and target id of each crash; duplicate reports count once. */
  readonly crashes: Set<string>;
  expiresAt: number;
}

/** A call during which a target crashed: its fingerprint and whether it is refused. */
export interface Suspicion {
  readonly fingerprint: string;
  readonly refused: boolean;
}

/** Calls during which targets crashed; entries expire some time after the last crash. */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>();

  /** Number of suspects by route, so that calls of other routes need no digest. */
  private readonly suspectsByRoute = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly onRefused: (crash: TargetCrash) => void,
  ) {}

  /**
   * Records a crash; the one that leads to refusal is passed to the callback. After the first crash
   * only those of isolated calls count: when a zone fails, a popular lookup is in flight at several
   * targets that crash for unrelated reasons.
   */
  add(crash: TargetCrash): void {
    this.removeExpired();
    const suspect = this.suspects.get(crash.fingerprint) ?? this.addSuspect(crash);
    const callAndTarget = `${crash.callId} ${crash.target}`;
    if (suspect === null || suspect.crashes.has(callAndTarget)) return;
    if (suspect.crashes.size > 0 && !crash.isolated) return;
    suspect.crashes.add(callAndTarget);
    suspect.expiresAt = this.clock.now() + SUSPECT_LIFETIME_MS;
    // Reinserted to keep the map in order of expiry.
    this.suspects.delete(crash.fingerprint);
    this.suspects.set(crash.fingerprint, suspect);
    if (suspect.crashes.size === SUSPECT_CRASHES_TO_REFUSE) this.onRefused(crash);
  }

  /** Whether there are no suspects, so that no call needs a check. */
  isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  /** The first crash of each call that is refused. */
  refusedCalls(): readonly TargetCrash[] {
    const now = this.clock.now();
    return [...this.suspects.values()]
      .filter(
        (suspect) => suspect.crashes.size >= SUSPECT_CRASHES_TO_REFUSE && now < suspect.expiresAt,
      )
      .map((suspect) => suspect.firstCrash);
  }

  /** The suspicion against a call; null if no target crashed during it. */
  check(call: CallIdentity): Suspicion | null {
    if (this.suspects.size === 0) return null;
    if (call.key === null && !this.suspectsByRoute.has(routeOf(call))) return null;
    const fingerprint = fingerprintOf(call);
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || this.clock.now() >= suspect.expiresAt) return null;
    return { fingerprint, refused: suspect.crashes.size >= SUSPECT_CRASHES_TO_REFUSE };
  }

  private addSuspect(crash: TargetCrash): Suspect | null {
    if (this.suspects.size >= MAX_SUSPECTS) return null;
    const route = routeOf(crash);
    this.suspectsByRoute.set(route, (this.suspectsByRoute.get(route) ?? 0) + 1);
    const suspect = { route, firstCrash: crash, crashes: new Set<string>(), expiresAt: 0 };
    this.suspects.set(crash.fingerprint, suspect);
    return suspect;
  }

  private removeExpired(): void {
    const now = this.clock.now();
    for (const [fingerprint, suspect] of this.suspects) {
      if (now < suspect.expiresAt) return;
      this.suspects.delete(fingerprint);
      const remaining = (this.suspectsByRoute.get(suspect.route) ?? 1) - 1;
      if (remaining === 0) this.suspectsByRoute.delete(suspect.route);
      else this.suspectsByRoute.set(suspect.route, remaining);
    }
  }
}
