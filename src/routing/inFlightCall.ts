import { type CallTraits } from './callTraits';

/** A call that holds a slot of a target. */
export interface InFlightCall {
  readonly call: CallTraits;
  /** Monotonic time at which the slot was acquired. */
  readonly acquiredAt: number;
  /** True when the rank of the call is below the top rank; the call may not use reserved slots. */
  readonly isBelowTopRank: boolean;
  /** Load of the target when the slot was acquired, this call included. */
  readonly loadAtStart: number;
  /** Monotonic time at which the call was cleared for sending; null before. */
  sentAt: number | null;
  /** Monotonic time at which the head of the answer arrived; null before. */
  answeredAt: number | null;
  isFinished: boolean;
}
