import { isLargeZone } from '../knowledge';
import { type Clock, type Random, rendezvousChoice, sample } from '../runtime';

import { type HostAddress } from './hostAddress';
import { type Membership } from './membership';

const TURN_MS = 1000;

/** What a message to another zone is about. */
export type Purpose = 'members' | 'flights' | 'changes' | 'reports' | 'notices';

/** Dependencies of `OtherZones`. */
export interface OtherZonesParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: HostAddress;
  readonly zones: readonly string[];
  readonly membership: Membership;
}

/**
 * Chooses the receivers in other zones. Messages that are sent once go to a random host. Member lists
 * and in-flight counts of a small zone, which many hosts send, go to one host, which rebroadcasts them
 * in batches; rendezvous hashing selects another host each second, so that a dead one does little harm.
 */
export class OtherZones {
  constructor(private readonly parts: OtherZonesParts) {}

  /** Up to `count` random live hosts of each other zone. */
  sample(count: number): readonly HostAddress[] {
    const { self, random, membership } = this.parts;
    return this.parts.zones
      .filter((zone) => zone !== self.zone)
      .flatMap((zone) => sample(random, membership.inZone(zone), count));
  }

  /**
   * The live hosts of small zones that are all known, and one of each other one, which passes a
   * message on. Each host gets the message once in either way, but directly in one step.
   */
  reach(purpose: Purpose): {
    readonly direct: readonly HostAddress[];
    readonly relays: readonly HostAddress[];
  } {
    const { membership } = this.parts;
    const chosen = this.choose(purpose);
    const isDirect = ({ zone }: HostAddress) =>
      membership.knowsAllOf(zone) && !isLargeZone(membership.inZone(zone).length - 1);
    return {
      direct: chosen.filter(isDirect).flatMap(({ zone }) => membership.inZone(zone)),
      relays: chosen.filter((host) => !isDirect(host)),
    };
  }

  /** One live host of each other zone, for a message of this purpose. */
  choose(purpose: Purpose): readonly HostAddress[] {
    const { self, random, clock, membership } = this.parts;
    const isLarge = isLargeZone(membership.neighbours().length);
    const mustMeet = !isLarge && (purpose === 'members' || purpose === 'flights');
    const chosen: HostAddress[] = [];
    for (const zone of this.parts.zones) {
      if (zone === self.zone) continue;
      const hosts = membership.inZone(zone);
      if (hosts.length === 0) continue;
      const id = mustMeet
        ? rendezvousChoice(
            `${purpose} ${self.zone} ${Math.floor(clock.now() / TURN_MS)}`,
            hosts.map((host) => host.id),
          )
        : hosts[random.integer(hosts.length)]!.id;
      chosen.push(hosts.find((host) => host.id === id)!);
    }
    return chosen;
  }
}
