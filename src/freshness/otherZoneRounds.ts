import { type HostAddress } from '../exchange';
import { type Clock, type Moment, type Random, type SuspensionClock } from '../runtime';

import { type ProofSources } from './proofSources';
import { RequestTokens } from './requestTokens';

const RESPONSE_TIMEOUT_MS = 100;

/** Dependencies of `OtherZoneRounds`. */
export interface OtherZoneRoundsParts {
  readonly clock: Clock;
  readonly suspensionClock: SuspensionClock;
  readonly random: Random;
  readonly sources: Pick<ProofSources, 'readersOfOtherZones'>;
  /** Age in milliseconds from which on a proof is renewed. */
  readonly askAgeMs: number;
  readonly send: (hosts: readonly HostAddress[], token: number) => void;
}

/** Asks the readers of other zones for the proof that one of them gets from the store. */
export class OtherZoneRounds {
  private readonly tokens: RequestTokens;

  private attempts = 0;

  private firstAttemptAt = Infinity;

  private nextAttemptAt = -Infinity;

  constructor(private readonly parts: OtherZoneRoundsParts) {
    const { clock, suspensionClock, random } = parts;
    this.tokens = new RequestTokens(clock, suspensionClock, random);
  }

  /** Asks when the proof of this age is due for renewal, until there is a newer one. */
  refresh(ageMs: number): void {
    const now = this.parts.clock.now();
    if (ageMs < this.parts.askAgeMs) {
      this.attempts = 0;
      this.firstAttemptAt = Infinity;
      return;
    }
    if (now < this.nextAttemptAt) return;
    this.firstAttemptAt = Math.min(this.firstAttemptAt, now);
    this.nextAttemptAt = now + RESPONSE_TIMEOUT_MS;
    this.attempts += 1;
    const hosts = this.parts.sources.readersOfOtherZones(this.attempts);
    if (hosts.length > 0) this.parts.send(hosts, this.tokens.issue(hosts.map(({ ip }) => ip)));
  }

  /** Whether a request had the time for a response without a renewal of the proof. */
  haveFailed(): boolean {
    return this.parts.clock.now() >= this.firstAttemptAt + RESPONSE_TIMEOUT_MS;
  }

  /** The moment of the request that a host answers; null when it was not asked. */
  momentOf(token: number, fromIp: string): Moment | null {
    return this.tokens.momentOf(token, fromIp);
  }
}
