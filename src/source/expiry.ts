// An entry expires after three intervals without a renewal. One of them may have passed before an outage
// began; half an interval allows for late renewals.
const INTERVALS_BEFORE_EXPIRY = 1.5;

/** Time without answers of the source from which on entries may expire, in milliseconds. */
export function shortestExpiringOutage(renewalIntervalMs: number): number {
  return INTERVALS_BEFORE_EXPIRY * renewalIntervalMs;
}
