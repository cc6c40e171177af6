import { type PoolState } from '../routing';

/** Formats the load of a pool as a header value. */
export function writeOwnerState(state: PoolState): string {
  return `${state.limit},${state.inFlight},${state.queued},${state.medianMs.toFixed(1)}`;
}

/** Parses the load of another owner's pool; null when the value is malformed. */
export function readOwnerState(value: unknown): PoolState | null {
  if (typeof value !== 'string') return null;
  const [limit, inFlight, queued, medianMs] = value.split(',').map(Number);
  const numbers = [limit, inFlight, queued, medianMs];
  if (numbers.some((number) => number === undefined || !Number.isFinite(number))) return null;
  return { limit: limit!, inFlight: inFlight!, queued: queued!, medianMs: medianMs! };
}
