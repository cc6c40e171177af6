import { type Clock } from '../runtime';

import { type Acceptor } from './acceptor';
import { type Ballot, compareBallots } from './ballot';
import { type FleetPeers } from './fleetPeers';
import { type FleetRecord } from './fleetRecord';
import { gatherReplies } from './gather';
import { makeRecord } from './makeRecord';
import { isQuorum } from './quorum';
import { PHASE_TIMEOUT_MS } from './timing';
import { type Vote } from './vote';

/** Dependencies of a proposer. */
export interface ProposerContext {
  readonly hostId: string;
  readonly clock: Clock;
  readonly acceptor: Acceptor;
  readonly peers: FleetPeers;
  /** Voters of the record in force, which decide on the next epoch. */
  readonly voters: () => readonly string[];
  /** Voters of the sheet a record refers to; null when the sheet cannot be obtained. */
  readonly votersOfRecord: (record: FleetRecord) => Promise<readonly string[] | null>;
  /** Answers an accept request on this host. */
  readonly acceptLocally: (record: FleetRecord, promisedIncarnation: string) => Promise<Vote>;
  /** Answers a prepare request on this host. */
  readonly prepareLocally: (epoch: number, ballot: Ballot, silentHosts: readonly string[]) => Vote;
  /** Commits a chosen record on this host; resolves with the epoch it then holds. */
  readonly adopt: (record: FleetRecord) => Promise<number>;
  /** Hosts that receive the commit, besides the voters of the record. */
  readonly commitRecipients: () => readonly string[];
}

/** Outcome of a proposal. */
export type ProposalResult =
  | { readonly kind: 'chosen'; readonly record: FleetRecord; readonly confirmed: boolean }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'outbid' }
  | { readonly kind: 'no-quorum'; readonly mayBeAccepted: boolean };

const OUTBID: ProposalResult = { kind: 'outbid' };
const SUPERSEDED: ProposalResult = { kind: 'superseded' };

function highestByBallot<Value>(
  values: readonly Value[],
  ballotOf: (value: Value) => Ballot,
): Value | undefined {
  return [...values].sort((left, right) => compareBallots(ballotOf(right), ballotOf(left)))[0];
}

/** Single-decree Paxos for one epoch at a time. */
export class Proposer {
  private highestRound = 0;

  constructor(private readonly context: ProposerContext) {}

  /** Makes one attempt to get `wanted`, or a record already accepted by a voter, chosen. */
  async propose(wanted: FleetRecord, silentHosts: readonly string[]): Promise<ProposalResult> {
    const { acceptor, hostId } = this.context;
    if (wanted.epoch <= acceptor.epoch) return SUPERSEDED;
    const round = Math.max(this.highestRound, acceptor.promised?.round ?? 0) + 1;
    this.highestRound = round;
    const ballot: Ballot = { round, hostId };
    const voters = this.context.voters();
    const promises = await this.prepare(wanted.epoch, ballot, silentHosts, voters);
    const found = await this.adoptCommitted(promises, wanted.epoch);
    if (found !== null) return found;
    const granted = [...promises].filter(([, vote]) => vote.granted);
    if (!isQuorum([voters], new Set(granted.map(([voter]) => voter)))) {
      return granted.length < promises.size ? OUTBID : { kind: 'no-quorum', mayBeAccepted: false };
    }
    const accepted = granted.flatMap(([, vote]) => (vote.accepted === null ? [] : [vote.accepted]));
    const alreadyAccepted = highestByBallot(accepted, (record) => record.ballot);
    const value = makeRecord({ ...(alreadyAccepted ?? wanted), ballot });
    return this.acceptAndCommit(value, promises, voters);
  }

  private prepare(
    epoch: number,
    ballot: Ballot,
    silentHosts: readonly string[],
    voters: readonly string[],
  ): Promise<ReadonlyMap<string, Vote>> {
    const { clock, hostId, peers, prepareLocally } = this.context;
    return gatherReplies(
      voters,
      (voter) =>
        voter === hostId
          ? Promise.resolve(prepareLocally(epoch, ballot, silentHosts))
          : peers.prepare(voter, epoch, ballot, silentHosts),
      (replies) => {
        const granted = [...replies].filter(([, vote]) => vote.granted).map(([voter]) => voter);
        return isQuorum([voters], new Set(granted));
      },
      clock,
      clock.now() + PHASE_TIMEOUT_MS,
    );
  }

  /** Adopts a committed record that a voter reported. */
  private async adoptCommitted(
    votes: ReadonlyMap<string, Vote>,
    epoch: number,
  ): Promise<ProposalResult | null> {
    for (const vote of votes.values()) {
      this.highestRound = Math.max(this.highestRound, vote.promised?.round ?? 0);
      if (vote.committed !== null && vote.committed.epoch >= epoch) {
        await this.context.adopt(vote.committed);
      }
    }
    return this.context.acceptor.epoch >= epoch ? SUPERSEDED : null;
  }

  private async acceptAndCommit(
    record: FleetRecord,
    promises: ReadonlyMap<string, Vote>,
    voters: readonly string[],
  ): Promise<ProposalResult> {
    const nextVoters = await this.context.votersOfRecord(record);
    if (nextVoters === null) return { kind: 'no-quorum', mayBeAccepted: false };
    const voterSets = [voters, nextVoters];
    const votes = await this.accept(record, promises, voterSets);
    const accepting = [...votes].filter(([, vote]) => vote.granted).map(([voter]) => voter);
    if (!isQuorum(voterSets, new Set(accepting))) {
      const found = await this.adoptCommitted(votes, record.epoch);
      return found ?? { kind: 'no-quorum', mayBeAccepted: accepting.length > 0 };
    }
    const confirmed = await this.commit(record, nextVoters);
    return { kind: 'chosen', record, confirmed };
  }

  /**
   * Asks a voter only when it gave a promise, and names the incarnation that gave it: a voter that
   * restarted since then has lost any higher promise.
   */
  private async accept(
    record: FleetRecord,
    promises: ReadonlyMap<string, Vote>,
    voterSets: readonly (readonly string[])[],
  ): Promise<ReadonlyMap<string, Vote>> {
    const { clock, hostId, peers } = this.context;
    const deadline = clock.now() + PHASE_TIMEOUT_MS;
    const newVoters = voterSets[1]!.filter((voter) => !voterSets[0]!.includes(voter));
    const newPromises = await this.prepare(record.epoch, record.ballot, [], newVoters);
    const incarnations = new Map(
      [...promises, ...newPromises]
        .filter(([, vote]) => vote.granted)
        .map(([voter, vote]) => [voter, vote.incarnation]),
    );
    return gatherReplies(
      [...incarnations.keys()],
      (voter) =>
        voter === hostId
          ? this.context.acceptLocally(record, incarnations.get(voter)!)
          : peers.accept(voter, record, incarnations.get(voter)!),
      (replies) => {
        const granted = [...replies].filter(([, vote]) => vote.granted).map(([voter]) => voter);
        return isQuorum(voterSets, new Set(granted));
      },
      clock,
      deadline,
    );
  }

  /** Sends the commit; true when a majority of the record's voters confirmed it. */
  private async commit(record: FleetRecord, voters: readonly string[]): Promise<boolean> {
    const { adopt, clock, hostId, commitRecipients, peers } = this.context;
    const hosts = new Set([...voters, ...commitRecipients()]);
    const confirms = (replies: ReadonlyMap<string, number>) =>
      isQuorum(
        [voters],
        new Set([...replies].filter(([, epoch]) => epoch >= record.epoch).map(([host]) => host)),
      );
    const replies = await gatherReplies(
      [...hosts],
      (host) => (host === hostId ? adopt(record) : peers.commit(host, record)),
      confirms,
      clock,
      clock.now() + PHASE_TIMEOUT_MS,
    );
    return confirms(replies);
  }
}
