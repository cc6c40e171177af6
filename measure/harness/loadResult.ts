import { type CallOutcome } from './callOutcome';
import { type LatencySummary } from './latencySummary';

/** Results of one kind of call in one phase. */
export interface KindResult {
  readonly outcomes: Readonly<Record<CallOutcome, number>>;
  /** Time from the scheduled moment to the end of the answer; answered calls only. */
  readonly latency: LatencySummary;
}

/** What the caller of one call learned: its key as the targets record it, its outcome and kind. */
export type CallReport = readonly [key: string, outcome: CallOutcome, kind: string];

/** What a load generator saw. */
export interface LoadResult {
  /** By phase, then by kind. */
  readonly phases: Readonly<Record<string, Readonly<Record<string, KindResult>>>>;
  readonly reports: readonly CallReport[];
  /** Longest time between the scheduled and the real start of a call, in milliseconds. */
  readonly latestStart: number;
}
