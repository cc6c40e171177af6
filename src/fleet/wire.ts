import { type ReadRecordReply, type VoteReply, type WireRecord } from '../peer';

import { type Ballot } from './ballot';
import { type FleetRecord } from './fleetRecord';
import { makeRecord } from './makeRecord';
import { type RecordState, type Vote } from './vote';

const NO_BALLOT: Ballot = { round: 0, hostId: '' };

/** Converts a record to its wire form. */
export function toWire(record: FleetRecord): WireRecord {
  return {
    ...record,
    ballot: { ...record.ballot },
    members: [...record.members],
    zonesOut: [...record.zonesOut],
  };
}

/** Converts a record from its wire form; throws when it violates the invariants of a record. */
export function fromWire(record: WireRecord): FleetRecord {
  return makeRecord({ ...record, ballot: record.ballot ?? NO_BALLOT });
}

function optionalRecord(record: WireRecord | undefined): FleetRecord | null {
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
    accepted: optionalRecord(reply.accepted),
    committed: optionalRecord(reply.committed),
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
    committed: optionalRecord(reply.committed),
    accepted: optionalRecord(reply.accepted),
  };
}
