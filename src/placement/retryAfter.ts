import { type Random } from '../runtime';

import { type RefusalReason } from './refusalReason';

// Callers wait for at most this share of the time that they have left.
const LONGEST_SHARE = 1 / 3;
const SHORTEST_MS = 20;

interface RetryInput {
  readonly leftMs: number;
  /** Time that the work of the call usually takes. */
  readonly workMs: number;
  /** Rank among the priorities of the service: 0 for the most urgent. */
  readonly rank: number;
}

type Spread = readonly [earliestMs: number, latestMs: number];

// When room is expected again, for each reason; the spread keeps callers from returning together.
const SPREADS: Readonly<Record<RefusalReason, (input: RetryInput) => Spread>> = {
  // A host reads its first configuration within half a second of its start.
  noConfiguration: () => [150, 450],
  noTarget: () => [100, 400],
  allCold: () => [200, 600],
  // A queue of one call a slot is gone after the time of one call; urgent calls return first.
  overloaded: ({ workMs, rank }) => [workMs * (0.5 + 0.5 * rank), workMs * (1.5 + rank)],
  // Targets that refuse although they have room may take the next call; waiting would make it late.
  refused: () => [SHORTEST_MS, 2 * SHORTEST_MS],
  outOfTime: () => [SHORTEST_MS, 2 * SHORTEST_MS],
  crashes: ({ leftMs }) => [leftMs, leftMs],
  stopping: () => [SHORTEST_MS, 4 * SHORTEST_MS],
};

/** Time in milliseconds after which a refused caller should come back. */
export function retryAfter(reason: RefusalReason, input: RetryInput, random: Random): number {
  const [earliest, latest] = SPREADS[reason](input);
  const wished = earliest + (latest - earliest) * random.next();
  return Math.max(SHORTEST_MS, Math.min(wished, input.leftMs * LONGEST_SHARE));
}
