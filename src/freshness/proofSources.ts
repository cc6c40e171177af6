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
    return this.otherReaders().slice(0, 1);
  }

  /** The host that would read after `reader`, a random neighbour and a random host of another zone. */
  others(): readonly HostAddress[] {
    const { self, random, membership } = this.parts;
    const live = membership.live();
    const near = live.filter((host) => host.zone === self.zone);
    const far = live.filter((host) => host.zone !== self.zone);
    return [
      ...this.otherReaders().slice(1, 2),
      ...sample(random, near, 1),
      ...sample(random, far, 1),
    ];
  }

  /** Whether this host would read when the reader of its zone is gone. */
  isNextReader(): boolean {
    // Hosts that fail to read count too: when all do, only the first ones may stand in.
    const reports = this.candidates().map(({ id }) => ({ hostId: id, state: 'idle' as const }));
    return zoneReaderOrder(this.parts.self.id, reports).slice(0, 2).includes(this.parts.self.id);
  }

  /** Number of hosts of this zone, including this one. */
  zoneSize(): number {
    return this.parts.membership.neighbours().length + 1;
  }

  private readerOrder(): readonly string[] {
    const reports = this.candidates().map(({ id, source }) => ({ hostId: id, state: source }));
    return zoneReaderOrder(this.parts.self.id, reports);
  }

  private otherReaders(): readonly HostAddress[] {
    const byId = new Map(this.candidates().map((host) => [host.id, host]));
    return this.readerOrder().flatMap((id) => byId.get(id) ?? []);
  }

  private candidates(): readonly KnownHost[] {
    return this.parts.membership.neighbours().filter((host) => !host.isLeaving);
  }
}
