import { type OpenWarning } from '../warnings';

import { type TargetStatus } from './targetStatus';

/** What routing, the configuration watcher and the warnings supply for `GET /status`. */
export interface StatusSource {
  /** Calls that this gateway accepted from callers and that have not ended. */
  callsInFlight(): number;
  /** Targets that this gateway owns. */
  targets(): readonly TargetStatus[];
  /** Version last read from the configuration service; null when none was read yet. */
  publishedVersion(): number | null;
  /** Warnings that this gateway raised for the fleet. */
  openWarnings(): readonly OpenWarning[];
}
