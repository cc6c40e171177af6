import { type HostAddress, type KnownHost, type Membership } from '../exchange';
import { type Random, rendezvousOrder, sample } from '../runtime';
import { zoneReaderOrder } from '../source';

// Zones that are asked at a time, and hosts of each: the reader and the one that would read next.
const MAX_ASKED_ZONES = 3;
const MAX_ASKED_HOSTS_OF_ZONE = 2;

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

  /** Position of this host in the order in which the hosts of its zone would read, 0 for the first one. */
  readerRank(): number {
    // Hosts that fail to read count too: when all do, only the first ones may stand in.
    const reports = this.candidates().map(({ id }) => ({ hostId: id, state: 'idle' as const }));
    return zoneReaderOrder(this.parts.self.id, reports).indexOf(this.parts.self.id);
  }

  /** Number of hosts of this zone, including this one. */
  zoneSize(): number {
    return this.parts.membership.neighbours().length + 1;
  }

  /**
   * Position of this zone in the order in which zones confirm at the store. The first one with live
   * hosts does; zones that differ in what they know of each other may have the same position.
   */
  confirmationRank(): number {
    return this.confirmationOrder().indexOf(this.parts.self.zone);
  }

  /**
   * Hosts of the zones that confirm before this one or would be the next to do so. The first attempt
   * asks the reader of the first zone, and later ones more zones and who would read next there.
   */
  readersOfOtherZones(attempt: number): readonly HostAddress[] {
    const live = this.parts.membership.live().filter((host) => !host.isLeaving);
    return this.confirmationOrder()
      .filter((zone) => zone !== this.parts.self.zone)
      .slice(0, Math.min(attempt, MAX_ASKED_ZONES))
      .flatMap((zone) =>
        ProofSources.inReaderOrder(live.filter((host) => host.zone === zone)).slice(
          0,
          Math.min(attempt, MAX_ASKED_HOSTS_OF_ZONE),
        ),
      );
  }

  private confirmationOrder(): readonly string[] {
    const { self, membership } = this.parts;
    const live = membership.live().filter((host) => !host.isLeaving);
    const zones = new Set([self.zone, ...live.map(({ zone }) => zone)]);
    return rendezvousOrder('proof confirmer', [...zones]);
  }

  // Of large zones only some hosts are known, mostly with the one that reads, and of few of them whether
  // they fail.
  private static inReaderOrder(hosts: readonly KnownHost[]): readonly HostAddress[] {
    const [first, ...others] = hosts;
    if (first === undefined) return [];
    const byId = new Map(hosts.map((host) => [host.id, host]));
    const reports = others.map(({ id, source }) => ({ hostId: id, state: source }));
    return zoneReaderOrder(first.id, reports).flatMap((id) => byId.get(id) ?? []);
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
