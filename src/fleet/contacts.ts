import { type Beat } from '../peer';

interface Contact {
  incarnation: string;
  established: boolean;
  leaving: boolean;
  epoch: number;
  /** Send time of the latest heartbeat that the peer echoed. */
  contactAt: number;
  /** Like `contactAt`, of echoes from an established peer whose epoch was not above the own. */
  viewContactAt: number;
}

/** When this host last had contact, in both directions, with each peer. */
export class Contacts {
  private readonly peers = new Map<string, Contact>();

  constructor(private readonly startedAt: number) {}

  /** Takes in a heartbeat; `epoch` is the committed epoch of this host. */
  learn(beat: Beat, epoch: number): void {
    const known = this.peers.get(beat.hostId);
    const contact: Contact = known ?? {
      incarnation: beat.incarnation,
      established: false,
      leaving: false,
      epoch: 0,
      contactAt: this.startedAt,
      viewContactAt: Number.NEGATIVE_INFINITY,
    };
    this.peers.set(beat.hostId, contact);
    contact.incarnation = beat.incarnation;
    contact.established = beat.established;
    contact.leaving = beat.leaving;
    contact.epoch = beat.epoch;
    if (beat.echoedAt === null) return;
    contact.contactAt = Math.max(contact.contactAt, beat.echoedAt);
    if (!beat.established || beat.epoch > epoch) return;
    contact.viewContactAt = Math.max(contact.viewContactAt, beat.echoedAt);
  }

  /** Latest contact in both directions; the start of this host when there was none. */
  contactAt(hostId: string): number {
    return this.peers.get(hostId)?.contactAt ?? this.startedAt;
  }

  /** Latest contact that counts for the view deadline. */
  viewContactAt(hostId: string): number {
    return this.peers.get(hostId)?.viewContactAt ?? Number.NEGATIVE_INFINITY;
  }

  isEstablished(hostId: string): boolean {
    return this.peers.get(hostId)?.established ?? false;
  }

  isLeaving(hostId: string): boolean {
    return this.peers.get(hostId)?.leaving ?? false;
  }

  /** Peers that hold an epoch of at least `epoch`, as far as their heartbeats tell. */
  holding(epoch: number): readonly string[] {
    return [...this.peers].filter(([, peer]) => peer.epoch >= epoch).map(([hostId]) => hostId);
  }
}
