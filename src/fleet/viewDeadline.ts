import { type HeartbeatTracker } from './contacts';
import { majorityOf } from './quorum';
import { VIEW_LIFETIME_MS } from './timing';

/** Inputs of the view deadline that concern this host itself. */
export interface LocalState {
  readonly hostId: string;
  readonly now: number;
  /** When this host accepted a record that it has not committed; null when there is none. */
  readonly acceptedAt: number | null;
}

/**
 * End of the lease on the view: the latest time at or after which a majority of the voters,
 * including this host, had contact, plus the view lifetime. A host that accepted a newer record
 * counts its own contact only until it accepted, since it may be the only member of the record's
 * majority that it can reach.
 */
export function viewDeadline(
  voters: readonly string[],
  heartbeats: HeartbeatTracker,
  local: LocalState,
): number {
  const contactTimes = voters.map((voter) =>
    voter === local.hostId ? (local.acceptedAt ?? local.now) : heartbeats.lastViewContactAt(voter),
  );
  contactTimes.sort((left, right) => right - left);
  const majorityContactAt = contactTimes[majorityOf(voters) - 1] ?? Number.NEGATIVE_INFINITY;
  return Math.min(majorityContactAt, local.now) + VIEW_LIFETIME_MS;
}
