import { type SourceState } from '../source';
import { type InFlightCounts, type TargetReport } from '../knowledge';

import { type Notices } from './notices';

/** State of the sending host; with `members`, also the hosts that it knows. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly host: readonly [id: string, zone: string, ip: string];
  /** Chosen when the process starts, so that a restart under the same id is detected. */
  readonly incarnation: number;
  /** Revision up to which the sender's catalog is complete. */
  readonly asOf: number;
  /** Highest revision that the sender knows, at least `asOf`. */
  readonly newest: number;
  /** Hash of the sender's records above `asOf`; 0 without any. */
  readonly fingerprint: number;
  readonly source: SourceState;
  readonly isLeaving: boolean;
  /** Some of the hosts that the sender knows, for a joining host and for other zones. */
  readonly members?: readonly (readonly [id: string, zone: string, ip: string])[];
  /** Number of live hosts in the sender's zone, including the sender. */
  readonly zoneSize: number;
  /** The zone that the rebroadcast `members` belong to, and its number of live hosts. */
  readonly otherZone?: readonly [zone: string, size: number];
  /** Whether the receiver replies with a heartbeat that lists the members. */
  readonly shouldReplyWithMembers?: boolean;
}

/**
 * State of a host of a large zone, and how fresh the state of its neighbours is. Hosts send digests
 * to a few neighbours in place of heartbeats to all of them.
 */
export interface Digest {
  readonly kind: 'digest';
  /** Key of the id of the sender. */
  readonly sender: number;
  readonly incarnation: number;
  readonly asOf: number;
  readonly newest: number;
  readonly fingerprint: number;
  readonly source: SourceState;
  readonly isLeaving: boolean;
  readonly zoneSize: number;
  /** Time in milliseconds since the last sign of life of each neighbour, by the key of its id. */
  readonly ages: ReadonlyMap<number, number>;
}

/** Recent observations of targets. */
export interface ReportsMessage {
  readonly kind: 'reports';
  readonly reports: readonly TargetReport[];
  /** Whether the receiver rebroadcasts the message to its neighbours. */
  readonly shouldRebroadcast?: boolean;
}

/** In-flight counts of hosts. */
export interface InFlightCountsMessage {
  readonly kind: 'flights';
  readonly counts: readonly InFlightCounts[];
  readonly shouldRebroadcast?: boolean;
}

/** Catalog changes, as encoded by `encodeChanges`. */
export interface ChangesMessage {
  readonly kind: 'changes';
  readonly text: string;
  readonly shouldRebroadcast?: boolean;
}

/** Notices that the sender knows. */
export interface NoticesMessage extends Notices {
  readonly kind: 'notices';
  readonly shouldRebroadcast?: boolean;
  /** Whether the sender repeats what it knows; a receiver to which it is news passes it on. */
  readonly isRepeated?: boolean;
}

/** Any message between hosts. */
export type Message =
  Heartbeat | Digest | ReportsMessage | InFlightCountsMessage | ChangesMessage | NoticesMessage;
