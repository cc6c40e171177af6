import { type Contacts } from './contacts';
import { majorityOf } from './quorum';
import { VIEW_LIFETIME_MS } from './timing';

/** What the view deadline follows from, besides the contacts. */
export interface OwnContact {
  readonly hostId: string;
  readonly now: number;
  /** When this host accepted a record that it has not committed; null when there is none. */
  readonly acceptedAt: number | null;
}

/**
 * Latest time such that a majority of the voters, this host included, had contact at or after it,
 * plus the view lifetime. A host that accepted a newer record stops counting for itself, since it
 * may be the only member of the record's majority that it hears from.
 */
export function viewDeadline(
  voters: readonly string[],
  contacts: Contacts,
  own: OwnContact,
): number {
  const times = voters.map((voter) =>
    voter === own.hostId ? (own.acceptedAt ?? own.now) : contacts.viewContactAt(voter),
  );
  times.sort((left, right) => right - left);
  const decisive = times[majorityOf(voters) - 1] ?? Number.NEGATIVE_INFINITY;
  return Math.min(decisive, own.now) + VIEW_LIFETIME_MS;
}
