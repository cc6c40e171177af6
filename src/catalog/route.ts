import { type RoutePart } from './routePart';

/** Where calls of one host name and path prefix go, and what they may cost. */
export interface Route {
  readonly name: string;
  /** Host name that callers ask for, in lower case and without a port. */
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a call may run more than once. */
  readonly isIdempotent: boolean;
  /** Longest time a caller is kept waiting, in milliseconds. */
  readonly timeLimitMs: number;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most targets that one call may be sent to. */
  readonly mostAttempts: number;
  /** Services that share the calls; at least one. */
  readonly parts: readonly RoutePart[];
}
