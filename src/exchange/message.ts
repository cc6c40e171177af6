import { type SourceState } from '../source';
import { type TargetReport } from '../knowledge';

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
  /** Live hosts that the sender knows; present in answers to a host that joins and between zones. */
  readonly members?: readonly (readonly [id: string, zone: string, ip: string])[];
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
export type Message = Heartbeat | Reports | Changes | CrashNotice;
