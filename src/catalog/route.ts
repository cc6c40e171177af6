import { type RoutePart } from './routePart';

/** Services and limits for the calls to one host name and path prefix. */
export interface Route {
  readonly name: string;
  /** Requested host name, in lower case and without a port. */
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a call may be executed more than once. */
  readonly isIdempotent: boolean;
  /** Maximum time until a caller gets an answer, in milliseconds. */
  readonly timeLimitMs: number;
  /** Time within which an answer has its full value to the caller, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of targets to which one call is sent. */
  readonly mostAttempts: number;
  /** Whether callers need no key, where the configuration has tenants. */
  readonly isPublic: boolean;
  /** Services that share the calls; at least one. */
  readonly parts: readonly RoutePart[];
}
