import { type SourceState } from './sourceState';

/** Reading state of a host of the zone, as last received. */
export interface SourceReport {
  readonly hostId: string;
  readonly state: SourceState;
}
