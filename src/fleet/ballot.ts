/** Paxos proposal number, ordered by round, then by host id. */
export interface Ballot {
  readonly round: number;
  readonly hostId: string;
}

/** Negative when `left` is lower than `right`, 0 when equal, else positive. */
export function compareBallots(left: Ballot, right: Ballot): number {
  if (left.round !== right.round) return left.round - right.round;
  if (left.hostId === right.hostId) return 0;
  return left.hostId < right.hostId ? -1 : 1;
}
