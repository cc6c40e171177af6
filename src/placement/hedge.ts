/** State of a running attempt of an idempotent call. */
export interface HedgeInput {
  /** Time since the attempt was sent, in milliseconds. */
  readonly elapsedMs: number;
  /** Time left until the latency objective, in milliseconds. */
  readonly objectiveLeftMs: number;
  /** Usual service time, in milliseconds. */
  readonly workMs: number;
  /** Current latency of the target of the attempt, in percent of the usual. */
  readonly pace: number;
  /** Whether the target became unreachable after the attempt was sent. */
  readonly isLost: boolean;
}

// A target at its usual latency rarely takes longer than this multiple of the usual service time.
const LATE_FACTOR = 1.35;
const OUTLIER_PACE_PERCENT = 250;
// Time to allow for the hedge, as a multiple of the usual service time, since that varies.
const HEDGE_TIME_FACTOR = 1.25;

/**
 * Whether a hedge is worth its load now: the first target is an outlier, does not answer or is
 * unreachable, or this is the last moment at which another target can answer within the objective.
 */
export function shouldHedge(input: HedgeInput): boolean {
  const { elapsedMs, objectiveLeftMs, workMs, pace, isLost } = input;
  if (isLost) return true;
  const isOutlier = pace >= OUTLIER_PACE_PERCENT && elapsedMs + 2 < workMs * (pace / 100);
  if (isOutlier && elapsedMs > workMs * 0.25) return objectiveLeftMs > workMs;
  if (elapsedMs < workMs * LATE_FACTOR) return false;
  const isLastMoment = objectiveLeftMs <= workMs * HEDGE_TIME_FACTOR * 1.3;
  return isLastMoment || elapsedMs > workMs * 2 * LATE_FACTOR;
}

/**
 * Whether the first target gives so little hope of an answer that a hedge is worth its load even if it
 * misses the objective. A host that was held up may notice this too late for a hedge in time.
 */
export function isUnlikelyToAnswer({ elapsedMs, workMs, pace, isLost }: HedgeInput): boolean {
  return isLost || elapsedMs > workMs * Math.max(1, pace / 100) * 2 * LATE_FACTOR;
}

/** Time in milliseconds after which a running attempt is checked again. */
export function hedgeRecheckMs(workMs: number): number {
  return Math.max(8, workMs * 0.2);
}
