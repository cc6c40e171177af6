import { type SourceState } from '../source';
import { type FlightCounts, type TargetReport } from '../knowledge';

/** What a host says of itself, and when `members` is given, of the hosts of its zone. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly host: readonly [id: string, zone: string, ip: string];
  /** Drawn at the start of the process, so that a restart under the same id is seen. */
  readonly incarnation: number;
  /** Revision up to which the sender's catalog is complete. */
  readonly asOf: number;
  readonly source: SourceState;
  readonly isLeaving: boolean;
  /** Some hosts that the sender knows, for a host that joins and for other zones. */
  readonly members?: readonly (readonly [id: string, zone: string, ip: string])[];
  /** Number of live hosts in the sender's zone, the sender included. */
  readonly zoneSize: number;
  /** Another zone and its number of live hosts, when `members` are passed on from there. */
  readonly far?: readonly [zone: string, size: number];
  /** The receiver answers with a heartbeat that lists the members. */
  readonly asksMembers?: boolean;
}

/** What was seen of targets a moment ago. */
export interface Reports {
  readonly kind: 'reports';
  readonly reports: readonly TargetReport[];
  /** Zones in which the receiver passes the message on to its neighbours. */
  readonly passOn?: boolean;
}

/** Calls that hosts have in flight. */
export interface Flights {
  readonly kind: 'flights';
  readonly counts: readonly FlightCounts[];
  readonly passOn?: boolean;
}

/** Changes of the catalog, as text of `encodeChanges`. */
export interface Changes {
  readonly kind: 'changes';
  readonly text: string;
  readonly passOn?: boolean;
}

/** A target died while it ran a call; `cleared` when such a call ended well. */
export interface CrashNotice {
  readonly kind: 'crash';
  readonly fingerprint: string;
  /** Id of the call attempt; one attempt counts once. */
  readonly callId: string;
  readonly cleared: boolean;
  readonly passOn?: boolean;
}

/** Every message between hosts. */
export type Message = Heartbeat | Reports | Flights | Changes | CrashNotice;
