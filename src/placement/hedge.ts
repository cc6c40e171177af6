/** What is known of a running attempt of an idempotent call. */
export interface HedgeInput {
  /** Time since the attempt was sent, in milliseconds. */
  readonly elapsedMs: number;
  /** Time left until the latency objective. */
  readonly objectiveLeftMs: number;
  /** Usual time of the work, in milliseconds. */
  readonly workMs: number;
  /** Pace of the attempt's target at this moment, in percent. */
  readonly pace: number;
  /** The target was lost since the attempt was sent. */
  readonly isLost: boolean;
}

// Answers of a target at its usual pace are rarely later than this.
const LATE_FACTOR = 1.35;
const SLOW_PACE = 250;
// A second attempt needs this much more than the usual time, for its own variation.
const SECOND_TIME_FACTOR = 1.25;

/**
 * Whether a second attempt is worth its load now: the first target is slow, silent or gone, or the
 * last moment has come at which another target can still answer within the objective.
 */
export function shouldHedge(input: HedgeInput): boolean {
  const { elapsedMs, objectiveLeftMs, workMs, pace, isLost } = input;
  if (isLost) return true;
  const isSlow = pace >= SLOW_PACE && elapsedMs + 2 < workMs * (pace / 100);
  if (isSlow && elapsedMs > workMs * 0.25) return objectiveLeftMs > workMs;
  if (elapsedMs < workMs * LATE_FACTOR) return false;
  const isLastMoment = objectiveLeftMs <= workMs * SECOND_TIME_FACTOR * 1.3;
  return isLastMoment || elapsedMs > workMs * 2 * LATE_FACTOR;
}

/** Time in milliseconds after which a running attempt is looked at again. */
export function hedgeInterval(workMs: number): number {
  return Math.max(8, workMs * 0.2);
}
