import { type Ballot, compareBallots } from './ballot';
import { type FleetRecord } from './fleetRecord';
import { sameContent } from './makeRecord';
import { type RecordState, type Vote } from './vote';

/** Paxos acceptor of this host: promised ballot, accepted and committed record, in memory only. */
export class Acceptor {
  /** False until this host has recovered enough state to vote; requests are refused until then. */
  established = false;

  committed: FleetRecord | null = null;

  accepted: FleetRecord | null = null;

  /** Monotonic time at which `accepted` was set. */
  acceptedAt = 0;

  /** Highest ballot promised for the epoch after the committed one. */
  promised: Ballot | null = null;

  constructor(private readonly incarnation: string) {}

  /** Committed epoch; 0 when there is none. */
  get epoch(): number {
    return this.committed?.epoch ?? 0;
  }

  /** The larger of the committed and the accepted epoch. */
  get heldEpoch(): number {
    return this.accepted?.epoch ?? this.epoch;
  }

  state(): RecordState {
    const { established, committed, accepted } = this;
    return { established, committed, accepted };
  }

  prepare(epoch: number, ballot: Ballot): Vote {
    const refusal = this.refusalReason(epoch, ballot);
    if (refusal !== null) return this.makeVote(false, epoch, refusal);
    this.promised = ballot;
    return this.makeVote(true, epoch, '');
  }

  accept(record: FleetRecord, promisedIncarnation: string, now: number): Vote {
    const refusal =
      promisedIncarnation === this.incarnation
        ? this.refusalReason(record.epoch, record.ballot)
        : 'the promise was given before a restart';
    if (refusal !== null) return this.makeVote(false, record.epoch, refusal);
    this.promised = record.ballot;
    this.setAccepted(record, now);
    return this.makeVote(true, record.epoch, '');
  }

  /** Adopts a record another host accepted, so that a restarted voter does not contradict it. */
  learnAccepted(record: FleetRecord, now: number): void {
    if (record.epoch !== this.epoch + 1) return;
    if (this.promised !== null && compareBallots(record.ballot, this.promised) < 0) return;
    this.promised = record.ballot;
    this.setAccepted(record, now);
  }

  /** Commits a chosen record; returns false when the committed record does not change. */
  commit(record: FleetRecord): boolean {
    if (record.epoch < this.epoch) return false;
    if (this.committed !== null && record.epoch === this.epoch) {
      return this.resolveConflict(this.committed, record);
    }
    this.committed = record;
    this.promised = null;
    if (this.accepted !== null && this.accepted.epoch <= record.epoch) this.accepted = null;
    return true;
  }

  /**
   * Keeps the record with the higher ballot. Two records of one epoch can exist only after a
   * majority lost its memory and a host with the old record came back.
   */
  private resolveConflict(own: FleetRecord, other: FleetRecord): boolean {
    if (sameContent(own, other) || compareBallots(other.ballot, own.ballot) <= 0) return false;
    this.committed = other;
    return true;
  }

  private setAccepted(record: FleetRecord, now: number): void {
    if (this.accepted === null || !sameContent(this.accepted, record)) this.acceptedAt = now;
    this.accepted = record;
  }

  private refusalReason(epoch: number, ballot: Ballot): string | null {
    if (!this.established) return 'not established';
    if (epoch <= this.epoch) return 'epoch is already committed';
    if (epoch > this.epoch + 1) return 'an earlier epoch is not known here';
    if (this.promised !== null && compareBallots(ballot, this.promised) < 0) {
      return 'a higher ballot was promised';
    }
    return null;
  }

  private makeVote(granted: boolean, epoch: number, reason: string): Vote {
    return {
      granted,
      promised: this.promised,
      accepted: this.accepted?.epoch === epoch ? this.accepted : null,
      committed: this.epoch >= epoch ? this.committed : null,
      reason,
      incarnation: this.incarnation,
    };
  }
}
