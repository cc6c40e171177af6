import { type Target } from '../sheet';

/** What an earlier owner tells about a target that it released. */
export interface InheritedState {
  /** Calls of the earlier owner that may still run; they take up slots until `reservedUntil`. */
  readonly callsInFlight: number;
  /** Monotonic time at which the last of these calls must have ended. */
  readonly reservedUntil: number;
  readonly limit: number;
  /** Monotonic time until which the target stays cold; 0 when it is warm. */
  readonly coldUntil: number;
  /** Instance identity last seen; empty when none was. */
  readonly instance: string;
}

/** A target that this host owns. */
export interface OwnedTarget {
  readonly target: Target;
  /** Monotonic time from which this host may send calls to the target. */
  readonly usableFrom: number;
  /** State handed over by the earlier owner; null when there was none or it is not known. */
  readonly inherited: InheritedState | null;
  /** False while the target's zone is out of service. */
  readonly inService: boolean;
}
