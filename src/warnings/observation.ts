import { type ConfigurationState, type FleetRecord } from '../fleet';
import { type Sheet } from '../sheet';

/** A call that crashed two targets. */
export interface CrashingCall {
  readonly fingerprint: string;
  /** Service, method and path of the call. */
  readonly detail: string;
}

/** What a host observes of the fleet; the conditions are computed from it. */
export interface Observation {
  /** Null while no record is known. */
  readonly record: FleetRecord | null;
  /** Sheet of the record; null while it is not known. */
  readonly sheet: Sheet | null;
  /** Hosts with recent contact, this one included. */
  readonly liveHosts: readonly string[];
  /** True while the view of this host is current. */
  readonly hasQuorum: boolean;
  /** Calls that the targets of a service in a zone can take at the same time; 0 for none. */
  readonly usableSlots: (service: string, zone: string) => number;
  readonly configuration: ConfigurationState;
  readonly crashingCalls: readonly CrashingCall[];
}
