import { type ReceivedHeartbeat } from '../peer';

interface PeerContact {
  incarnation: string;
  established: boolean;
  leaving: boolean;
  epoch: number;
  /** Send time of the latest heartbeat that the peer echoed. */
  lastContactAt: number;
  /** Same, counting only echoes from an established peer whose epoch is not above our own. */
  lastViewContactAt: number;
}

/** Tracks when this host last had contact, in both directions, with each peer. */
export class HeartbeatTracker {
  private readonly peers = new Map<string, PeerContact>();

  constructor(private readonly startedAt: number) {}

  /** Applies a received heartbeat; `epoch` is the committed epoch of this host. */
  receive(heartbeat: ReceivedHeartbeat, epoch: number): void {
    const known = this.peers.get(heartbeat.hostId);
    const contact: PeerContact = known ?? {
      incarnation: heartbeat.incarnation,
      established: false,
      leaving: false,
      epoch: 0,
      lastContactAt: this.startedAt,
      lastViewContactAt: Number.NEGATIVE_INFINITY,
    };
    this.peers.set(heartbeat.hostId, contact);
    contact.incarnation = heartbeat.incarnation;
    contact.established = heartbeat.established;
    contact.leaving = heartbeat.leaving;
    contact.epoch = heartbeat.epoch;
    if (heartbeat.echoedAt === null) return;
    contact.lastContactAt = Math.max(contact.lastContactAt, heartbeat.echoedAt);
    if (!heartbeat.established || heartbeat.epoch > epoch) return;
    contact.lastViewContactAt = Math.max(contact.lastViewContactAt, heartbeat.echoedAt);
  }

  /** Time of the latest contact in both directions; the start of this host if there was none. */
  lastContactAt(hostId: string): number {
    return this.peers.get(hostId)?.lastContactAt ?? this.startedAt;
  }

  /** Time of the latest contact that counts towards the view deadline. */
  lastViewContactAt(hostId: string): number {
    return this.peers.get(hostId)?.lastViewContactAt ?? Number.NEGATIVE_INFINITY;
  }

  isEstablished(hostId: string): boolean {
    return this.peers.get(hostId)?.established ?? false;
  }

  isLeaving(hostId: string): boolean {
    return this.peers.get(hostId)?.leaving ?? false;
  }

  /** Peers whose last heartbeat announced an epoch of at least `epoch`. */
  peersAtEpoch(epoch: number): readonly string[] {
    return [...this.peers].filter(([, peer]) => peer.epoch >= epoch).map(([hostId]) => hostId);
  }
}
