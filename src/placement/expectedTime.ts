import { type CallRequirements } from './callRequirements';
import { type Candidate } from './candidate';

// Hosts of a zone report a change of pace at once and an unchanged pace at the refresh interval of
// their reports; without either, the weight of the last value halves after this time.
const SAME_ZONE_PACE_HALF_LIFE_MS = 1200;
// Across zones only changes are reported, so that the absence of reports says little.
const CROSS_ZONE_PACE_HALF_LIFE_MS = 6000;
// Mean pace assumed for a target without recent reports, as some are several times slower.
const UNKNOWN_PACE_PERCENT = 180;
// Network round trips within a zone and between zones.
const SAME_ZONE_ROUND_TRIP_MS = 1;
const CROSS_ZONE_ROUND_TRIP_MS = 3;

/** Share from 0 to 1 of the weight of the last reported pace that it still has. */
export function paceConfidence({ isSameZone, paceAge }: Candidate): number {
  const halfLife = isSameZone ? SAME_ZONE_PACE_HALF_LIFE_MS : CROSS_ZONE_PACE_HALF_LIFE_MS;
  return 0.5 ** (paceAge / halfLife);
}

function currentPace(candidate: Candidate): number {
  if (candidate.paceAge === Infinity) return UNKNOWN_PACE_PERCENT;
  const confidence = paceConfidence(candidate);
  // The absence of reports does not show that a slow target has recovered.
  const fallbackPace = Math.max(UNKNOWN_PACE_PERCENT, candidate.pace * 0.5);
  return candidate.pace * confidence + fallbackPace * (1 - confidence);
}

/** Expected time in milliseconds until the candidate answers a call that is sent to it now. */
export function expectedTime(candidate: Candidate, requirements: CallRequirements): number {
  const work = (requirements.workMs * currentPace(candidate)) / 100;
  const queuedCalls = candidate.load - candidate.slots + 1;
  const roundTrip = candidate.isSameZone ? SAME_ZONE_ROUND_TRIP_MS : CROSS_ZONE_ROUND_TRIP_MS;
  if (queuedCalls > 0)
    return work * requirements.lastSlotSlowdown * (1 + queuedCalls / candidate.slots) + roundTrip;
  const isLastSlot = queuedCalls === 0 && candidate.slots > 1;
  return work * (isLastSlot ? requirements.lastSlotSlowdown : 1) + roundTrip;
}
