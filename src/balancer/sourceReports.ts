import { type Membership } from '../exchange';
import { type SourceReport } from '../source';

/** The source states that neighbours report; leaving hosts are omitted, since they do not read. */
export function sourceReports(membership: Membership): readonly SourceReport[] {
  return membership
    .neighbours()
    .filter((host) => !host.isLeaving)
    .map((host) => ({ hostId: host.id, state: host.source }));
}
