import { type CallNeeds } from './callNeeds';
import { type Candidate } from './candidate';

// A change of pace is told at once and an unchanged one every REFRESH_MS of the report outbox; after
// this age, without either, the last value is half forgotten.
const PACE_HALF_LIFE_MS = 1200;
// Between zones only changes are told, so that no news is not much of a sign.
const FAR_PACE_HALF_LIFE_MS = 6000;
// Mean pace of a target of which nothing fresh is known: some are several times slower.
const UNKNOWN_PACE = 180;
// A round trip within a zone and between zones, in milliseconds.
const NEAR_ROUND_TRIP_MS = 1;
const FAR_ROUND_TRIP_MS = 3;

function currentPace(candidate: Candidate): number {
  if (candidate.paceAge === Infinity) return UNKNOWN_PACE;
  const halfLife = candidate.isNear ? PACE_HALF_LIFE_MS : FAR_PACE_HALF_LIFE_MS;
  const trust = 0.5 ** (candidate.paceAge / halfLife);
  // A slow target is not assumed to have recovered just because nobody looked.
  const unknown = Math.max(UNKNOWN_PACE, candidate.pace * 0.5);
  return candidate.pace * trust + unknown * (1 - trust);
}

/** Time in milliseconds until an answer of the candidate, if the call is sent to it now. */
export function expectedTime(candidate: Candidate, needs: CallNeeds): number {
  const work = (needs.workMs * currentPace(candidate)) / 100;
  const ahead = candidate.load - candidate.slots + 1;
  const roundTrip = candidate.isNear ? NEAR_ROUND_TRIP_MS : FAR_ROUND_TRIP_MS;
  if (ahead > 0) return work * needs.fullSlowdown * (1 + ahead / candidate.slots) + roundTrip;
  const isLastSlot = ahead === 0 && candidate.slots > 1;
  return work * (isLastSlot ? needs.fullSlowdown : 1) + roundTrip;
}
