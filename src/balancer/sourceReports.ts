import { type Membership } from '../exchange';
import { type SourceReport } from '../source';

/** What the neighbours say of their reading; hosts that leave do not read. */
export function sourceReports(membership: Membership): readonly SourceReport[] {
  return membership
    .neighbours()
    .filter((host) => !host.isLeaving)
    .map((host) => ({ hostId: host.id, state: host.source }));
}
