import { type SourceState } from './sourceState';

/** What one host of the zone last said of its reading. */
export interface SourceReport {
  readonly hostId: string;
  readonly state: SourceState;
}
