import { type CallRequirements } from './callRequirements';
import { type Candidate } from './candidate';

// A call has slack until its objective is this multiple of its work away: then it may still wait for
// one call ahead of it and take a third longer than usual.
const LATEST_START_WORK_FACTOR = 3;
// Standard deviations of the number of urgent calls that arrive: 19 of 20 moments need less.
const RESERVE_DEVIATIONS = 1.64;
// An urgent call would be late at a slower target, whose free slots therefore do not count.
const MAX_RESERVE_PACE_PERCENT = 200;

type Slack = Pick<CallRequirements, 'objectiveLeftMs' | 'workMs' | 'lastSlotSlowdown' | 'rank'>;

/** Time in milliseconds before its objective at which a call has no more slack; Infinity if it has none. */
export function slackMarginMs({ workMs, lastSlotSlowdown, rank }: Omit<Slack, 'objectiveLeftMs'>) {
  return rank > 0 ? workMs * lastSlotSlowdown * LATEST_START_WORK_FACTOR : Infinity;
}

/** Whether a call that is not among the most urgent can still be in time when it starts later. */
export function hasSlack({ objectiveLeftMs, ...call }: Slack): boolean {
  return objectiveLeftMs > slackMarginMs(call);
}

/**
 * Whether a call leaves the free slots to the urgent calls that are expected meanwhile. Load pattern:
 * a burst of calls that could wait takes the slots that urgent calls with a short objective need.
 * `urgentShare` is the share of the calls more urgent than this one in the work sent to the service.
 */
export function mustYield(
  candidates: readonly Candidate[],
  requirements: CallRequirements,
  urgentShare: number,
): boolean {
  if (!requirements.mayWait || urgentShare === 0 || !hasSlack(requirements)) return false;
  let load = 0;
  let freeSlots = 0;
  for (const candidate of candidates) {
    load += candidate.load;
    const isUsable = !candidate.isCold && !candidate.isUnconfirmed && candidate.limitedForMs <= 0;
    if (isUsable && candidate.pace <= MAX_RESERVE_PACE_PERCENT)
      freeSlots += Math.max(0, candidate.slots - candidate.load);
  }
  // While the call runs, about as many urgent calls arrive as run now. Arrivals are independent, so
  // that the variance of their number is its mean.
  const expectedUrgent = load * urgentShare;
  const reserve = Math.floor(expectedUrgent + RESERVE_DEVIATIONS * Math.sqrt(expectedUrgent));
  return freeSlots - 1 < reserve;
}
