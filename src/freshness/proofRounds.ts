import { type HostAddress } from '../exchange';
import { type Clock, type Moment, type Random, type SuspensionClock } from '../runtime';

import { type ProofSources } from './proofSources';
import { RequestTokens } from './requestTokens';

const RESPONSE_TIMEOUT_MS = 150;
// After some attempts other hosts have no newer proof either, and are asked less often.
const QUICK_ATTEMPTS = 5;
const SLOW_ATTEMPT_INTERVAL_MS = 300;
const MIN_EXTRA_INTERVAL_MS = 100;

/** Dependencies of `ProofRounds`. */
export interface ProofRoundsParts {
  readonly clock: Clock;
  readonly suspensionClock: SuspensionClock;
  readonly random: Random;
  readonly sources: Pick<ProofSources, 'reader' | 'others'>;
  /** Age in milliseconds from which on a proof is renewed. */
  readonly askAgeMs: number;
  readonly send: (hosts: readonly HostAddress[], token: number) => void;
}

/**
 * Asks other hosts for proofs in rounds: first the reader of the zone, then a neighbour and a host of
 * another zone at a time, until a proof is young enough.
 */
export class ProofRounds {
  private readonly tokens: RequestTokens;

  private attempts = 0;

  private nextAttemptAt = -Infinity;

  private lastAttemptAt = -Infinity;

  private readerIp: string | null = null;

  /** Whether the reader has answered a request of this round. */
  private hasReaderAnswered = true;

  private isReaderSilent = false;

  constructor(private readonly parts: ProofRoundsParts) {
    const { clock, suspensionClock, random } = parts;
    this.tokens = new RequestTokens(clock, suspensionClock, random);
  }

  /** Asks when the proof of this age is due for renewal, until there is a newer one. */
  askIfDue(ageMs: number): void {
    if (ageMs < this.parts.askAgeMs) this.attempts = 0;
    else if (this.parts.clock.now() >= this.nextAttemptAt) this.ask(this.attempts > 0);
  }

  /** Asks the reader and others now, unless hosts have just been asked. */
  askAllNow(): void {
    if (this.parts.clock.now() >= this.lastAttemptAt + MIN_EXTRA_INTERVAL_MS) this.ask(true);
  }

  /** Whether the reader of the zone has left a request without an answer. */
  lacksReader(): boolean {
    return this.isReaderSilent;
  }

  /** The moment of the request that a host answers; null when it was not asked. */
  momentOf(token: number, fromIp: string): Moment | null {
    return this.tokens.momentOf(token, fromIp);
  }

  /** Notes a response of a host. */
  noteResponse(fromIp: string): void {
    if (fromIp !== this.readerIp) return;
    this.hasReaderAnswered = true;
    this.isReaderSilent = false;
  }

  private ask(mayAskOthers: boolean): void {
    const { clock, sources, send } = this.parts;
    const now = clock.now();
    const reader = sources.reader();
    const readerIp = reader[0]?.ip ?? null;
    const isSameReader = readerIp === this.readerIp;
    this.isReaderSilent = readerIp === null || (isSameReader && !this.hasReaderAnswered);
    const others = mayAskOthers || this.isReaderSilent ? sources.others() : [];
    const hosts = [...new Map([...reader, ...others].map((host) => [host.ip, host])).values()];
    if (this.attempts === 0 || !isSameReader) this.hasReaderAnswered = false;
    this.readerIp = readerIp;
    this.attempts += 1;
    this.lastAttemptAt = now;
    const isQuick = this.attempts <= QUICK_ATTEMPTS;
    this.nextAttemptAt = now + (isQuick ? RESPONSE_TIMEOUT_MS : SLOW_ATTEMPT_INTERVAL_MS);
    if (hosts.length > 0) send(hosts, this.tokens.issue(hosts.map(({ ip }) => ip)));
  }
}
