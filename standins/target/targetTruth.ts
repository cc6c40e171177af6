import { type RunState } from './runRecord';
import { type TargetStandin } from './targetStandin';

/** Records of one target, as JSON on the control port. */
export interface TargetTruth {
  readonly target: string;
  readonly highestInFlight: number;
  readonly coldOverruns: number;
  readonly refused: number;
  /** Key, state and start time of each accepted call. */
  readonly runs: readonly (readonly [key: string, state: RunState, startedAt: number])[];
}

/** Returns the records of a target. */
export function truthOf(target: TargetStandin): TargetTruth {
  const { highestInFlight, coldOverruns, refused, runs } = target.log;
  return {
    target: target.id,
    highestInFlight,
    coldOverruns,
    refused,
    runs: runs.map(({ key, state, startedAt }) => [key, state, performance.timeOrigin + startedAt]),
  };
}
