import { type Clock } from '../runtime';

import { type ReceivedHeartbeat, type HeartbeatStatus } from './receivedHeartbeat';
import { type Heartbeat } from './generated/peer';

/** What the heartbeat sessions of one host share. */
export interface HeartbeatContext {
  readonly hostId: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly status: () => HeartbeatStatus;
  readonly onHeartbeat: (heartbeat: ReceivedHeartbeat) => void;
}

// An echo of a heartbeat older than this cannot extend the view deadline.
const SEND_TIME_HISTORY_LENGTH = 16;

/** Numbers the heartbeats of one stream and looks up when an echoed one was sent. */
export class HeartbeatSession {
  /** Id of the peer; empty until its first heartbeat. */
  peerId = '';

  lastReceivedAt: number;

  private peerIncarnation = '';

  private sequence = 0;

  private lastReceivedSequence = 0;

  private readonly sentAt = new Map<number, number>();

  constructor(
    private readonly context: HeartbeatContext,
    private readonly send: (heartbeat: Heartbeat) => void,
  ) {
    this.lastReceivedAt = context.clock.now();
  }

  sendHeartbeat(): void {
    const isFirst = this.sequence === 0;
    this.sequence += 1;
    this.sentAt.set(this.sequence, this.context.clock.now());
    this.sentAt.delete(this.sequence - SEND_TIME_HISTORY_LENGTH);
    this.send({
      hostId: isFirst ? this.context.hostId : '',
      incarnation: isFirst ? this.context.incarnation : '',
      sequence: this.sequence,
      echo: this.lastReceivedSequence,
      ...this.context.status(),
    });
  }

  /** Receives a heartbeat of the peer; one that is out of order is ignored. */
  receiveHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.hostId !== '') {
      this.peerId = heartbeat.hostId;
      this.peerIncarnation = heartbeat.incarnation;
    }
    if (this.peerId === '' || heartbeat.sequence <= this.lastReceivedSequence) return;
    this.lastReceivedSequence = heartbeat.sequence;
    this.lastReceivedAt = this.context.clock.now();
    this.context.onHeartbeat({
      hostId: this.peerId,
      incarnation: this.peerIncarnation,
      epoch: heartbeat.epoch,
      established: heartbeat.established,
      leaving: heartbeat.leaving,
      echoedAt: this.sentAt.get(heartbeat.echo) ?? null,
    });
  }
}
