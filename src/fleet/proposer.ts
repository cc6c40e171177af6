import { type Clock } from '../runtime';

import { type Acceptor } from './acceptor';
import { type Ballot, compareBallots } from './ballot';
import { type FleetPeers } from './fleetPeers';
import { type FleetRecord } from './fleetRecord';
import { gather } from './gather';
import { makeRecord } from './makeRecord';
import { isQuorum } from './quorum';
import { PHASE_LIMIT_MS } from './timing';
import { type Vote } from './vote';

/** What a proposer needs of its host. */
export interface ProposerContext {
  readonly hostId: string;
  readonly clock: Clock;
  readonly acceptor: Acceptor;
  readonly peers: FleetPeers;
  /** Voters that decide on the epoch: those of the record in force. */
  readonly voters: () => readonly string[];
  /** Voters of the sheet that a record names; null when the sheet cannot be obtained. */
  readonly votersOfRecord: (record: FleetRecord) => Promise<readonly string[] | null>;
  /** This host's own answer to an accept request. */
  readonly acceptHere: (record: FleetRecord, promisedIncarnation: string) => Promise<Vote>;
  /** This host's own answer to a prepare request. */
  readonly prepareHere: (epoch: number, ballot: Ballot, silentHosts: readonly string[]) => Vote;
  /** Takes over a chosen record; resolves with the epoch that this host then holds. */
  readonly adopt: (record: FleetRecord) => Promise<number>;
  /** All hosts that are told of a commit. */
  readonly listeners: () => readonly string[];
}

/** How a proposal ended. */
export type ProposalResult =
  | { readonly kind: 'chosen'; readonly record: FleetRecord; readonly confirmed: boolean }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'outbid' }
  | { readonly kind: 'no-quorum'; readonly mayHold: boolean };

const OUTBID: ProposalResult = { kind: 'outbid' };
const SUPERSEDED: ProposalResult = { kind: 'superseded' };

function highest<Value>(
  values: readonly Value[],
  ballotOf: (value: Value) => Ballot,
): Value | undefined {
  return [...values].sort((left, right) => compareBallots(ballotOf(right), ballotOf(left)))[0];
}

/** Single-decree Paxos for one epoch at a time. */
export class Proposer {
  private highestRound = 0;

  constructor(private readonly context: ProposerContext) {}

  /** One attempt to have `wanted`, or the record that it finds accepted, chosen for its epoch. */
  async propose(wanted: FleetRecord, silentHosts: readonly string[]): Promise<ProposalResult> {
    const { acceptor, hostId } = this.context;
    if (wanted.epoch <= acceptor.epoch) return SUPERSEDED;
    const round = Math.max(this.highestRound, acceptor.promised?.round ?? 0) + 1;
    this.highestRound = round;
    const ballot: Ballot = { round, hostId };
    const voters = this.context.voters();
    const promises = await this.prepare(wanted.epoch, ballot, silentHosts, voters);
    const found = await this.learn(promises, wanted.epoch);
    if (found !== null) return found;
    const granted = [...promises].filter(([, vote]) => vote.granted);
    if (!isQuorum([voters], new Set(granted.map(([voter]) => voter)))) {
      return granted.length < promises.size ? OUTBID : { kind: 'no-quorum', mayHold: false };
    }
    const accepted = granted.flatMap(([, vote]) => (vote.accepted === null ? [] : [vote.accepted]));
    const earlier = highest(accepted, (record) => record.ballot);
    const value = makeRecord({ ...(earlier ?? wanted), ballot });
    return this.acceptAndCommit(value, promises, voters);
  }

  private prepare(
    epoch: number,
    ballot: Ballot,
    silentHosts: readonly string[],
    voters: readonly string[],
  ): Promise<ReadonlyMap<string, Vote>> {
    const { clock, hostId, peers, prepareHere } = this.context;
    return gather(
      voters,
      (voter) =>
        voter === hostId
          ? Promise.resolve(prepareHere(epoch, ballot, silentHosts))
          : peers.prepare(voter, epoch, ballot, silentHosts),
      (replies) => {
        const granted = [...replies].filter(([, vote]) => vote.granted).map(([voter]) => voter);
        return isQuorum([voters], new Set(granted));
      },
      clock,
      clock.now() + PHASE_LIMIT_MS,
    );
  }

  /** Takes over a committed record that a voter reported. */
  private async learn(
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
    if (nextVoters === null) return { kind: 'no-quorum', mayHold: false };
    const voterSets = [voters, nextVoters];
    const votes = await this.accept(record, promises, voterSets);
    const accepting = [...votes].filter(([, vote]) => vote.granted).map(([voter]) => voter);
    if (!isQuorum(voterSets, new Set(accepting))) {
      const found = await this.learn(votes, record.epoch);
      return found ?? { kind: 'no-quorum', mayHold: accepting.length > 0 };
    }
    const confirmed = await this.commit(record, nextVoters);
    return { kind: 'chosen', record, confirmed };
  }

  /**
   * Old voters are asked only when they gave their promise, and with the incarnation that gave
   * it: a voter that restarted in between has forgotten higher promises.
   */
  private async accept(
    record: FleetRecord,
    promises: ReadonlyMap<string, Vote>,
    voterSets: readonly (readonly string[])[],
  ): Promise<ReadonlyMap<string, Vote>> {
    const { clock, hostId, peers } = this.context;
    const until = clock.now() + PHASE_LIMIT_MS;
    const newVoters = voterSets[1]!.filter((voter) => !voterSets[0]!.includes(voter));
    const more = await this.prepare(record.epoch, record.ballot, [], newVoters);
    const incarnations = new Map(
      [...promises, ...more]
        .filter(([, vote]) => vote.granted)
        .map(([voter, vote]) => [voter, vote.incarnation]),
    );
    return gather(
      [...incarnations.keys()],
      (voter) =>
        voter === hostId
          ? this.context.acceptHere(record, incarnations.get(voter)!)
          : peers.accept(voter, record, incarnations.get(voter)!),
      (replies) => {
        const granted = [...replies].filter(([, vote]) => vote.granted).map(([voter]) => voter);
        return isQuorum(voterSets, new Set(granted));
      },
      clock,
      until,
    );
  }

  /** True when a majority of the record's voters confirmed the commit. */
  private async commit(record: FleetRecord, voters: readonly string[]): Promise<boolean> {
    const { adopt, clock, hostId, listeners, peers } = this.context;
    const hosts = new Set([...voters, ...listeners()]);
    const confirms = (replies: ReadonlyMap<string, number>) =>
      isQuorum(
        [voters],
        new Set([...replies].filter(([, epoch]) => epoch >= record.epoch).map(([host]) => host)),
      );
    const replies = await gather(
      [...hosts],
      (host) => (host === hostId ? adopt(record) : peers.commit(host, record)),
      confirms,
      clock,
      clock.now() + PHASE_LIMIT_MS,
    );
    return confirms(replies);
  }
}
