import { type HostAddress, type KnownHost, type Membership } from '../exchange';
import { type Random, sample } from '../runtime';
import { zoneReaderOrder } from '../source';

/** Dependencies of `ProofSources`. */
export interface ProofSourcesParts {
  readonly self: HostAddress;
  readonly random: Random;
  readonly membership: Pick<Membership, 'neighbours' | 'live'>;
}

/** Chooses the hosts that this one asks for a proof. */
export class ProofSources {
  constructor(private readonly parts: ProofSourcesParts) {}

  /** The host of this zone other than this one that reads the store or would be the next to do so. */
  reader(): readonly HostAddress[] {
    const { self, membership } = this.parts;
    const candidates = membership.neighbours().filter((host) => !host.isLeaving);
    const reports = candidates.map(({ id, source }) => ({ hostId: id, state: source }));
    const first = zoneReaderOrder(self.id, reports).find((id) => id !== self.id);
    return candidates.filter(({ id }) => id === first);
  }

  /** A random host of this zone and a random one of another zone. */
  others(): readonly HostAddress[] {
    const { self, random, membership } = this.parts;
    const isNear = (host: KnownHost) => host.zone === self.zone;
    const live = membership.live();
    const near = sample(random, live.filter(isNear), 1);
    const far = sample(
      random,
      live.filter((host) => !isNear(host)),
      1,
    );
    return [...near, ...far];
  }

  /** Number of hosts of this zone, including this one. */
  zoneSize(): number {
    return this.parts.membership.neighbours().length + 1;
  }
}
