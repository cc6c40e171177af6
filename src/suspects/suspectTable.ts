import { type Clock } from '../runtime';

import { type Death } from './death';
import { type CallIdentity, fingerprintOf, routeOf } from './fingerprint';

/** Deaths after which a call is refused. */
export const DEATHS_TO_REFUSE = 2;

const SUSPECT_LIFETIME_MS = 30 * 60 * 1000;
const LARGEST_SUSPECTS = 10_000;

interface Suspect {
  readonly route: string;
  /** Call and target of each death; one that is reported again counts once. */
  readonly deaths: Set<string>;
  forgetAt: number;
}

/** What is known of a call: harmless, or its fingerprint and whether it is refused. */
export interface Suspicion {
  readonly fingerprint: string;
  readonly refused: boolean;
}

/** Calls during which targets died, forgotten some time after the last death. */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>();

  /** Number of suspects by route, so that other calls need no digest. */
  private readonly routes = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly convicted: (death: Death) => void,
  ) {}

  /**
   * Notes a death; the one that leads to refusal is told to the listener. After the first death
   * only those of isolated calls count: when a zone fails, a popular lookup is in flight at
   * several targets that die for their own reasons.
   */
  add(death: Death): void {
    this.forgetOld();
    const suspect = this.suspects.get(death.fingerprint) ?? this.begin(death);
    const name = `${death.callId} ${death.target}`;
    if (suspect === null || suspect.deaths.has(name)) return;
    if (suspect.deaths.size > 0 && !death.isolated) return;
    suspect.deaths.add(name);
    suspect.forgetAt = this.clock.now() + SUSPECT_LIFETIME_MS;
    // Kept in order of the time at which they are forgotten.
    this.suspects.delete(death.fingerprint);
    this.suspects.set(death.fingerprint, suspect);
    if (suspect.deaths.size === DEATHS_TO_REFUSE) this.convicted(death);
  }

  /** True when there are no suspects, so that no call needs a check. */
  isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  /** What is known of a call; null when no target died during it. */
  check(call: CallIdentity): Suspicion | null {
    if (this.suspects.size === 0) return null;
    if (call.key === null && !this.routes.has(routeOf(call))) return null;
    const fingerprint = fingerprintOf(call);
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || this.clock.now() >= suspect.forgetAt) return null;
    return { fingerprint, refused: suspect.deaths.size >= DEATHS_TO_REFUSE };
  }

  private begin(death: Death): Suspect | null {
    if (this.suspects.size >= LARGEST_SUSPECTS) return null;
    const route = routeOf(death);
    this.routes.set(route, (this.routes.get(route) ?? 0) + 1);
    const suspect = { route, deaths: new Set<string>(), forgetAt: 0 };
    this.suspects.set(death.fingerprint, suspect);
    return suspect;
  }

  private forgetOld(): void {
    const now = this.clock.now();
    for (const [fingerprint, suspect] of this.suspects) {
      if (now < suspect.forgetAt) return;
      this.suspects.delete(fingerprint);
      const left = (this.routes.get(suspect.route) ?? 1) - 1;
      if (left === 0) this.routes.delete(suspect.route);
      else this.routes.set(suspect.route, left);
    }
  }
}
