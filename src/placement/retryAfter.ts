import { type Random } from '../runtime';

import { type RefusalReason } from './refusalReason';

// Callers are asked to wait for at most this share of the time left until their deadline.
const MAX_DELAY_SHARE = 1 / 3;
const MIN_DELAY_MS = 20;

interface RetryAfterInput {
  readonly leftMs: number;
  /** Usual service time of the call, in milliseconds. */
  readonly workMs: number;
  /** Rank among the priorities of the service; 0 is the most urgent. */
  readonly rank: number;
  /** Mean time between the calls that the limits of the targets allow, in milliseconds. */
  readonly callIntervalMs: number;
  /** Time until the first target wants calls again, in milliseconds. */
  readonly quietForMs: number;
}

type DelayRange = readonly [minMs: number, maxMs: number];

// Time until free slots are expected, by reason; a range keeps callers from returning all at once.
const DELAY_RANGES: Readonly<Record<RefusalReason, (input: RetryAfterInput) => DelayRange>> = {
  // A host reads its first configuration within half a second of its start.
  noConfiguration: () => [150, 450],
  noTarget: () => [100, 400],
  unchecked: () => [100, 400],
  allCold: () => [200, 600],
  // Another host may have the next call; urgent calls return first.
  limited: ({ callIntervalMs, quietForMs, workMs, rank }) => {
    const intervalMs = Math.max(callIntervalMs, quietForMs > 0 ? workMs : 0);
    return [quietForMs + intervalMs * (1 + rank), quietForMs + intervalMs * (3 + 2 * rank)];
  },
  // A queue of one call per slot drains within the time of one call; urgent calls return first.
  overloaded: ({ workMs, rank }) => [workMs * (0.5 + 0.5 * rank), workMs * (1.5 + rank)],
  yielding: ({ workMs, rank }) => [workMs * (0.5 + 0.5 * rank), workMs * (1.5 + rank)],
  // Targets that refuse despite free slots may accept the next call; waiting would make it late.
  refused: () => [MIN_DELAY_MS, 2 * MIN_DELAY_MS],
  // Calls that hold much memory end, or reach their deadline, within this time; another host has room.
  noMemory: () => [100, 400],
  outOfTime: () => [MIN_DELAY_MS, 2 * MIN_DELAY_MS],
  crashes: ({ leftMs }) => [leftMs, leftMs],
  stopping: () => [MIN_DELAY_MS, 4 * MIN_DELAY_MS],
};

/** Time in milliseconds after which a refused caller should retry. */
export function retryAfter(reason: RefusalReason, input: RetryAfterInput, random: Random): number {
  const [minMs, maxMs] = DELAY_RANGES[reason](input);
  const delayMs = minMs + (maxMs - minMs) * random.next();
  return Math.max(MIN_DELAY_MS, Math.min(delayMs, input.leftMs * MAX_DELAY_SHARE));
}
