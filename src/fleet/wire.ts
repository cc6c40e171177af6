import { type ReadRecordReply, type VoteReply, type WireRecord } from '../peer';

import { type Ballot } from './ballot';
import { type FleetRecord } from './fleetRecord';
import { makeRecord } from './makeRecord';
import { type RecordState, type Vote } from './vote';

const NO_BALLOT: Ballot = { round: 0, hostId: '' };

/** A record as it travels. */
export function toWire(record: FleetRecord): WireRecord {
  return {
    ...record,
    ballot: { ...record.ballot },
    members: [...record.members],
    zonesOut: [...record.zonesOut],
  };
}

/** A record that arrived; throws when it breaks the invariants of a record. */
export function fromWire(record: WireRecord): FleetRecord {
  return makeRecord({ ...record, ballot: record.ballot ?? NO_BALLOT });
}

function optional(record: WireRecord | undefined): FleetRecord | null {
  return record === undefined ? null : fromWire(record);
}

export function voteToWire(vote: Vote): VoteReply {
  return {
    granted: vote.granted,
    promised: vote.promised === null ? undefined : { ...vote.promised },
    accepted: vote.accepted === null ? undefined : toWire(vote.accepted),
    committed: vote.committed === null ? undefined : toWire(vote.committed),
    reason: vote.reason,
    incarnation: vote.incarnation,
  };
}

export function voteFromWire(reply: VoteReply): Vote {
  return {
    granted: reply.granted,
    promised: reply.promised ?? null,
    accepted: optional(reply.accepted),
    committed: optional(reply.committed),
    reason: reply.reason,
    incarnation: reply.incarnation,
  };
}

export function stateToWire(state: RecordState): ReadRecordReply {
  return {
    established: state.established,
    committed: state.committed === null ? undefined : toWire(state.committed),
    accepted: state.accepted === null ? undefined : toWire(state.accepted),
  };
}

export function stateFromWire(reply: ReadRecordReply): RecordState {
  return {
    established: reply.established,
    committed: optional(reply.committed),
    accepted: optional(reply.accepted),
  };
}
