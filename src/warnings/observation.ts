import { type ConfigurationState, type FleetRecord } from '../fleet';
import { type Sheet } from '../sheet';

/** A call that crashed two targets. */
export interface CrashingCall {
  readonly fingerprint: string;
  /** Service, method and path of the call. */
  readonly detail: string;
}

/** State of the fleet as one host observes it; input of all detectors. */
export interface Observation {
  /** Null while no record is known. */
  readonly record: FleetRecord | null;
  /** Sheet of the record; null while it is not known. */
  readonly sheet: Sheet | null;
  /** Hosts with recent contact, including this one. */
  readonly liveHosts: readonly string[];
  /** True while the view of this host is current. */
  readonly hasQuorum: boolean;
  /** Number of concurrent calls that the targets of a service in a zone can take; 0 for none. */
  readonly usableSlots: (service: string, zone: string) => number;
  readonly configuration: ConfigurationState;
  readonly crashingCalls: readonly CrashingCall[];
}
