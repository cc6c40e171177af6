import { type Clock, type Moment, type Random, type SuspensionClock } from '../runtime';

// A response that arrives later would hardly be newer than the proofs since.
const RESPONSE_WINDOW_MS = 3000;
const TOKEN_RANGE = 2 ** 30;

interface PendingRequest {
  readonly moment: Moment;
  readonly expiresAt: number;
  readonly askedIps: ReadonlySet<string>;
}

/**
 * The moments of the requests without an expired response window, by token. Tokens are random, so that
 * a response to an earlier process of this host is not taken for one to this process.
 */
export class RequestTokens {
  private readonly pending = new Map<number, PendingRequest>();

  constructor(
    private readonly clock: Clock,
    private readonly suspensionClock: SuspensionClock,
    private readonly random: Random,
  ) {}

  /** The token of a request that is sent now to these addresses. */
  issue(askedIps: readonly string[]): number {
    const now = this.clock.now();
    for (const [token, { expiresAt }] of this.pending)
      if (expiresAt <= now) this.pending.delete(token);
    const token = this.random.integer(TOKEN_RANGE);
    this.pending.set(token, {
      moment: this.suspensionClock.now(),
      expiresAt: now + RESPONSE_WINDOW_MS,
      askedIps: new Set(askedIps),
    });
    return token;
  }

  /** The moment of the request that a host answers; null when it was not asked. */
  momentOf(token: number, fromIp: string): Moment | null {
    const request = this.pending.get(token);
    return request?.askedIps.has(fromIp) === true ? request.moment : null;
  }
}
