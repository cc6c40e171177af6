import { type Target } from '../sheet';

/** State of a target as released by its previous owner. */
export interface InheritedState {
  /** Calls of the previous owner that may still run; they occupy slots until `reservedUntil`. */
  readonly callsInFlight: number;
  /** Monotonic time at which the last of these calls must have ended. */
  readonly reservedUntil: number;
  readonly limit: number;
  /** Monotonic time until which the target stays cold; 0 when it is warm. */
  readonly coldUntil: number;
  /** Instance id last reported by the target; empty when there is none. */
  readonly instance: string;
}

/** A target that this host owns. */
export interface OwnedTarget {
  readonly target: Target;
  /** Monotonic time from which this host may send calls to the target. */
  readonly usableFrom: number;
  /** State handed over by the previous owner; null when there was none or it is not known. */
  readonly inherited: InheritedState | null;
  /** False while the target's zone is out of service. */
  readonly inService: boolean;
}
