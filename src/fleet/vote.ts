import { type Ballot } from './ballot';
import { type FleetRecord } from './fleetRecord';

/** Reply of a voter to a prepare or accept request. */
export interface Vote {
  readonly granted: boolean;
  /** Highest ballot promised for the epoch. */
  readonly promised: Ballot | null;
  /** Record of the epoch that the voter has accepted but not committed. */
  readonly accepted: FleetRecord | null;
  /** The voter's committed record, if it has this epoch or a later one. */
  readonly committed: FleetRecord | null;
  readonly reason: string;
  /** Incarnation of the voter that gave this vote. */
  readonly incarnation: string;
}

/** The state of a host's acceptor. */
export interface RecordState {
  readonly established: boolean;
  readonly committed: FleetRecord | null;
  readonly accepted: FleetRecord | null;
}
