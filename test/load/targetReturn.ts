import { type ModelTarget } from '../../standins/fleet';

import { type WishArrival, type WishRecords } from './wishRecords';

const SECOND_MS = 1000;

/** How targets get their calls back after a time in which they wanted none. */
export interface TargetReturn {
  /** Share of the usual rate in the second that ends so many seconds after the time. */
  readonly shares: readonly number[];
  /** Highest number of calls at one of the targets, with those that wait there. */
  readonly peakBefore: number;
  readonly peakInFirstSecond: number;
}

/** Times of a return, in milliseconds, and the seconds after it for which the share is wanted. */
export interface ReturnTimes {
  readonly usualFrom: number;
  readonly usualTo: number;
  readonly end: number;
  readonly seconds: readonly number[];
}

function peakOf(arrivals: readonly WishArrival[]): number {
  return arrivals.reduce((peak, { load }) => Math.max(peak, load), 0);
}

/** Computes the return of targets from the calls that reached them. */
export function targetReturn(
  records: WishRecords,
  targets: readonly ModelTarget[],
  { usualFrom, usualTo, end, seconds }: ReturnTimes,
): TargetReturn {
  const arrivals = (from: number, to: number) =>
    targets.flatMap(({ target }) => records.between(target.id, from, to));
  const usualRate = arrivals(usualFrom, usualTo).length / (usualTo - usualFrom);
  const shareIn = (from: number) => arrivals(from, from + SECOND_MS).length / SECOND_MS / usualRate;
  return {
    shares: seconds.map((second) => shareIn(end + (second - 1) * SECOND_MS)),
    peakBefore: peakOf(arrivals(usualFrom, usualTo)),
    peakInFirstSecond: peakOf(arrivals(end, end + SECOND_MS)),
  };
}
