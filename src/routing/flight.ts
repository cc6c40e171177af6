import { type CallTraits } from './callTraits';

/** One call that holds a slot of a target. */
export interface Flight {
  readonly call: CallTraits;
  /** Monotonic time at which the slot was taken. */
  readonly takenAt: number;
  /** True when the call is below the top rank and counts against the unreserved slots. */
  readonly low: boolean;
  /** Number of calls in flight at the target, this one included, when the slot was taken. */
  readonly loadAtStart: number;
  /** Monotonic time at which the call was allowed to leave; null before. */
  sentAt: number | null;
  /** Monotonic time at which the head of the answer arrived; null before. */
  answeredAt: number | null;
  finished: boolean;
}
