import { type TargetTruth } from '../../standins';

import { type CallOutcome } from './callOutcome';
import { type CallReport } from './loadResult';

/** Violations of the guarantees, from the outcomes at the callers and the records of the targets. */
export interface OutcomeCheck {
  /** Non-idempotent calls that took effect more than once. */
  readonly doubled: number;
  /** Calls reported as successful that never took effect. */
  readonly lost: number;
  /** Calls refused as "not run" that a target had accepted. */
  readonly falseNotRun: number;
  /** Calls that a cold target received beyond its cold limit. */
  readonly coldOverruns: number;
  /** Highest number of calls in flight at any one target. */
  readonly highestInFlight: number;
}

/** Checks a run; calls whose key is idempotent may take effect more than once. */
export function checkOutcomes(
  reports: readonly CallReport[],
  targetTruths: readonly TargetTruth[],
  isIdempotent: (key: string) => boolean,
): OutcomeCheck {
  const accepted = new Set<string>();
  const effects = new Map<string, number>();
  for (const [key, state] of targetTruths.flatMap(({ runs }) => runs)) {
    accepted.add(key);
    if (state === 'done') effects.set(key, (effects.get(key) ?? 0) + 1);
  }
  const count = (matches: (key: string, outcome: CallOutcome) => boolean) =>
    reports.filter(([key, outcome]) => matches(key, outcome)).length;
  return {
    doubled: count((key) => (effects.get(key) ?? 0) > 1 && !isIdempotent(key)),
    lost: count((key, outcome) => outcome === 'answered' && !effects.has(key)),
    falseNotRun: count((key, outcome) => outcome === 'not-run' && accepted.has(key)),
    coldOverruns: targetTruths.reduce((sum, truth) => sum + truth.coldOverruns, 0),
    highestInFlight: Math.max(0, ...targetTruths.map((truth) => truth.highestInFlight)),
  };
}
