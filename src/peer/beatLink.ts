import { type Clock } from '../runtime';

import { type Beat, type BeatStatus } from './beat';
import { type Heartbeat } from './generated/peer';

/** The local end of the heartbeats with one peer. */
export interface BeatContext {
  readonly hostId: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly status: () => BeatStatus;
  readonly receive: (beat: Beat) => void;
}

// An echo older than this many heartbeats proves nothing that the view deadline could use.
const KEPT_SEND_TIMES = 16;

/** Numbers the heartbeats of one stream and tells when an echoed one was sent. */
export class BeatLink {
  /** Id of the peer; empty until its first heartbeat. */
  peerId = '';

  lastReceivedAt: number;

  private peerIncarnation = '';

  private sequence = 0;

  private received = 0;

  private readonly sentAt = new Map<number, number>();

  constructor(
    private readonly context: BeatContext,
    private readonly send: (heartbeat: Heartbeat) => void,
  ) {
    this.lastReceivedAt = context.clock.now();
  }

  /** Sends the next heartbeat. */
  beat(): void {
    const first = this.sequence === 0;
    this.sequence += 1;
    this.sentAt.set(this.sequence, this.context.clock.now());
    this.sentAt.delete(this.sequence - KEPT_SEND_TIMES);
    this.send({
      hostId: first ? this.context.hostId : '',
      incarnation: first ? this.context.incarnation : '',
      sequence: this.sequence,
      echo: this.received,
      ...this.context.status(),
    });
  }

  /** Takes in a heartbeat of the peer; those out of order are ignored. */
  accept(heartbeat: Heartbeat): void {
    if (heartbeat.hostId !== '') {
      this.peerId = heartbeat.hostId;
      this.peerIncarnation = heartbeat.incarnation;
    }
    if (this.peerId === '' || heartbeat.sequence <= this.received) return;
    this.received = heartbeat.sequence;
    this.lastReceivedAt = this.context.clock.now();
    this.context.receive({
      hostId: this.peerId,
      incarnation: this.peerIncarnation,
      epoch: heartbeat.epoch,
      established: heartbeat.established,
      leaving: heartbeat.leaving,
      echoedAt: this.sentAt.get(heartbeat.echo) ?? null,
    });
  }
}
