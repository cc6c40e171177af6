import { type SourceState } from '../source';
import { type InFlightCounts, type TargetReport } from '../knowledge';

import { type Notices } from './notices';

/** Id, zone and IP address of a host. */
export type HostFields = readonly [id: string, zone: string, ip: string];

/** What a host tells of itself. */
export interface HostState {
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
  /** Number of live hosts in the sender's zone, including the sender. */
  readonly zoneSize: number;
}

/** State of the sending host with its address; with `members`, also the hosts that it knows. */
export interface Heartbeat extends HostState {
  readonly kind: 'heartbeat';
  readonly host: HostFields;
  /** Some of the hosts that the sender knows, for a joining host and for other zones. */
  readonly members?: readonly HostFields[];
  /** The zone that the rebroadcast `members` belong to, and its number of live hosts. */
  readonly otherZone?: readonly [zone: string, size: number];
  /** Whether the receiver replies with a heartbeat that lists the members. */
  readonly shouldReplyWithMembers?: boolean;
}

/**
 * State of a host for receivers that know its address; those that don't ask for it. In a large zone,
 * where hosts send digests to a few neighbours only, also how fresh the state of the others is.
 */
export interface Digest extends HostState {
  readonly kind: 'digest';
  /** Key of the id of the sender. */
  readonly sender: number;
  /**
   * Time in milliseconds since the last sign of life of each neighbour, by the key of its id; empty in
   * a small zone.
   */
  readonly ages: ReadonlyMap<number, number>;
}

/** Recent observations of targets. */
export interface ReportsMessage {
  readonly kind: 'reports';
  readonly reports: readonly TargetReport[];
  /** Whether the receiver rebroadcasts the message to its neighbours. */
  readonly shouldRebroadcast?: boolean;
}

/** In-flight counts of the sender of a message. */
export type SenderCounts = Omit<InFlightCounts, 'host'>;

/** In-flight counts of the sender and of hosts whose counts it passes on. */
export interface InFlightCountsMessage {
  readonly kind: 'flights';
  readonly own?: SenderCounts;
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

/** Asks for the newest proof that the receiver holds. */
export interface ProofRequest {
  readonly kind: 'proofRequest';
  /** Stands for the moment of the request; the response repeats it. */
  readonly token: number;
}

/** A proof of the sender, in response to a `ProofRequest`. */
export interface ProofResponse {
  readonly kind: 'proofResponse';
  readonly token: number;
  /** Revision of the configuration that was the newest one. */
  readonly revision: number;
  /** Age of the proof when the response was sent, in milliseconds, rounded up. */
  readonly ageMs: number;
}

/** Asks the owner of a tenant's quota, or its substitute, for one call. */
export interface QuotaQuestion {
  readonly kind: 'quotaQuestion';
  /** Identifies the question among those of its sender; a repetition has the same number. */
  readonly number: number;
  /** Key of the tenant's name, as `identityKey` makes it. */
  readonly tenant: number;
  readonly isSubstitute: boolean;
  /** Whether the previous owner has stopped granting calls of this tenant. */
  readonly isHandedOver: boolean;
  /** Whether the tenant was far below its limit when its owner last answered the sender. */
  readonly isFarBelowLimit: boolean;
  /** Calls granted to the sender that were refused afterwards. */
  readonly returned: number;
}

/** What the owner of a quota decides about one call. */
export type QuotaResult =
  | { readonly kind: 'granted'; readonly isFarBelowLimit: boolean }
  /** The limit is reached; a token is expected after this time. */
  | { readonly kind: 'exceeded'; readonly waitMs: number }
  /** Whether the limit is reached is not known to the host that was asked. */
  | { readonly kind: 'unknown'; readonly waitMs: number }
  /** Another host owns the quota; `hasCeased` if the sender owned it and has stopped granting. */
  | { readonly kind: 'redirect'; readonly ip: string; readonly hasCeased: boolean };

/** Answers a `QuotaQuestion` of the same number. */
export interface QuotaAnswer {
  readonly kind: 'quotaAnswer';
  readonly number: number;
  readonly result: QuotaResult;
}

/** A message about quotas of tenants. */
export type QuotaMessage = QuotaQuestion | QuotaAnswer;

/** Any message between hosts. */
export type Message =
  | Heartbeat
  | Digest
  | ReportsMessage
  | InFlightCountsMessage
  | ChangesMessage
  | NoticesMessage
  | ProofRequest
  | ProofResponse
  | QuotaMessage;
