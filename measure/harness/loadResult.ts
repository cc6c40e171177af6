import { type CallOutcome } from './callOutcome';
import { type LatencySummary } from './latencySummary';

/** Results of one kind of call in one phase. */
export interface KindResult {
  readonly outcomes: Readonly<Record<CallOutcome, number>>;
  /** Time from the scheduled start to the end of the response; answered calls only. */
  readonly latency: LatencySummary;
}

/** Outcome of one call at its caller, with the key that the targets record and the kind of call. */
export type CallReport = readonly [key: string, outcome: CallOutcome, kind: string];

/** Results of a load generator. */
export interface LoadResult {
  /** By phase, then by kind. */
  readonly phases: Readonly<Record<string, Readonly<Record<string, KindResult>>>>;
  readonly reports: readonly CallReport[];
  /** Longest delay between the scheduled and the actual start of a call, in milliseconds. */
  readonly maxStartDelayMs: number;
}
