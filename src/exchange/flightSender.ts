import { identityKey, type InFlightCounts } from '../knowledge';

import { groupByHost } from './groupByHost';
import { type HostAddress } from './hostAddress';
import { type Membership } from './membership';
import { type InFlightCountsMessage, type Message } from './message';
import { type OtherZones } from './otherZones';

/** Dependencies of `FlightSender`. */
export interface FlightSenderParts {
  readonly self: HostAddress;
  readonly membership: Membership;
  readonly otherZones: OtherZones;
  /** Hosts of this zone that use the target with this key; null when all of them do. */
  readonly sharersOfKey: (key: number) => readonly string[] | null;
  readonly sendTo: (hosts: readonly HostAddress[], message: Message) => void;
}

/**
 * All counts of a received message. The sender's own ones have no key of a host on the wire: the
 * address that they come from stands for it.
 */
export function receivedCounts(
  { own, counts }: InFlightCountsMessage,
  fromIp: string,
): readonly InFlightCounts[] {
  return own === undefined ? counts : [...counts, { host: identityKey(fromIp), ...own }];
}

/** Sends in-flight counts of this host and, within the zone, those that it passes on. */
export class FlightSender {
  constructor(private readonly parts: FlightSenderParts) {}

  /** Sends counts to the zone; with `isCrossZone`, to the other zones instead. */
  broadcast(counts: readonly InFlightCounts[], isCrossZone: boolean): void {
    if (counts.length === 0) return;
    const { membership, otherZones, sendTo } = this.parts;
    const isShared = [...counts[0]!.calls.keys()].some(
      (key) => this.parts.sharersOfKey(key) !== null,
    );
    if (isShared) {
      for (const count of counts) this.sendToSharers(count);
      return;
    }
    const message = this.messageOf(counts);
    if (!isCrossZone) {
      sendTo(membership.neighbours(), message);
      return;
    }
    const { direct, relays } = otherZones.reach('flights');
    sendTo(direct, message);
    sendTo(relays, { ...message, shouldRebroadcast: true });
  }

  private sendToSharers({ host: sender, sequence, calls }: InFlightCounts): void {
    const byHost = groupByHost([...calls], ([key]) => this.parts.sharersOfKey(key) ?? []);
    for (const host of this.parts.membership.neighbours()) {
      const used = byHost.get(host.id);
      if (used === undefined) continue;
      const counts = { host: sender, sequence, calls: new Map(used) };
      this.parts.sendTo([host], this.messageOf([counts]));
    }
  }

  private messageOf(counts: readonly InFlightCounts[]): InFlightCountsMessage {
    const ownKey = identityKey(this.parts.self.id);
    const own = counts.find(({ host }) => host === ownKey);
    return {
      kind: 'flights',
      own: own === undefined ? undefined : { sequence: own.sequence, calls: own.calls },
      counts: counts.filter((count) => count !== own),
    };
  }
}
