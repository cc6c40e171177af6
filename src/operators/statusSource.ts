import { type OpenWarning } from '../warnings';

import { type TargetStatus } from './targetStatus';

/** Status data from routing, the configuration watcher and the warnings for `GET /status`. */
export interface StatusSource {
  /** Number of calls in flight on this gateway, from callers and from other hosts. */
  callsInFlight(): number;
  /** Targets that this gateway owns. */
  targets(): readonly TargetStatus[];
  /** Version last read from the configuration service; null before the first read. */
  publishedVersion(): number | null;
  /** Open warnings that this gateway raised. */
  openWarnings(): readonly OpenWarning[];
}
