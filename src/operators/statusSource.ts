import { type OpenWarning } from '../warnings';

import { type TargetStatus } from './targetStatus';

/** Status data from routing, the configuration watcher and the warnings for `GET /status`. */
export interface StatusSource {
  /** Calls that this gateway accepted from callers and that have not ended. */
  callsInFlight(): number;
  /** Targets that this gateway owns. */
  targets(): readonly TargetStatus[];
  /** Version last read from the configuration service; null before the first read. */
  publishedVersion(): number | null;
  /** Open warnings that this gateway raised. */
  openWarnings(): readonly OpenWarning[];
}
