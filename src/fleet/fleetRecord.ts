import { type Ballot } from './ballot';

/** The replicated value that the hosts of a region agree on (docs/design.md, section 5). */
export interface FleetRecord {
  /** Increases by one with each change. */
  readonly epoch: number;
  /** Ballot of the proposal that was chosen. */
  readonly ballot: Ballot;
  readonly sheetVersion: number;
  readonly sheetFingerprint: string;
  /** Ids of the hosts that may own targets, sorted. */
  readonly members: readonly string[];
  /** Availability zones out of service, sorted. */
  readonly zonesOut: readonly string[];
  /** Id of the operator order or automatic change that created this epoch. */
  readonly orderId: string;
  readonly reason: string;
}
