import { type TargetTruth } from '../../standins';

import { type CallOutcome } from './callOutcome';
import { type CallReport } from './loadResult';

/** Broken promises, found by comparing what callers were told with what the targets did. */
export interface Judgement {
  /** Non-idempotent calls that took effect more than once. */
  readonly doubled: number;
  /** Calls answered as successful that never took effect. */
  readonly lost: number;
  /** Calls refused as "not run" that a target had accepted. */
  readonly falseNotRun: number;
  /** Calls that a cold target got beyond its cold limit. */
  readonly coldOverruns: number;
  /** Highest number of calls in flight at any one target. */
  readonly highestInFlight: number;
}

/** Judges a run; `isIdempotent` tells by key whether more than one effect is allowed. */
export function judge(
  reports: readonly CallReport[],
  truths: readonly TargetTruth[],
  isIdempotent: (key: string) => boolean,
): Judgement {
  const accepted = new Set<string>();
  const effects = new Map<string, number>();
  for (const [key, state] of truths.flatMap(({ runs }) => runs)) {
    accepted.add(key);
    if (state === 'done') effects.set(key, (effects.get(key) ?? 0) + 1);
  }
  const count = (matches: (key: string, outcome: CallOutcome) => boolean) =>
    reports.filter(([key, outcome]) => matches(key, outcome)).length;
  return {
    doubled: count((key) => (effects.get(key) ?? 0) > 1 && !isIdempotent(key)),
    lost: count((key, outcome) => outcome === 'answered' && !effects.has(key)),
    falseNotRun: count((key, outcome) => outcome === 'not-run' && accepted.has(key)),
    coldOverruns: truths.reduce((sum, truth) => sum + truth.coldOverruns, 0),
    highestInFlight: Math.max(0, ...truths.map((truth) => truth.highestInFlight)),
  };
}
