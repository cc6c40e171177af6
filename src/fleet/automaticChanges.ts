import { waitUntil } from '../runtime';

import { type ProposalQueue } from './proposalQueue';
import { FLEET_EVENTS } from './events';
import { type MembershipBasis, requiredChange, proposerRank } from './membership';
import { type ProposalResult } from './proposer';
import { type Replica } from './replica';
import { COMPLETION_DELAY_MS } from './timing';

const TICK_MS = 100;
// A membership change is proposed first by the live host of rank 0. Each further rank delays the
// proposal by this much, so that a host proposes only when the hosts of lower rank have not.
const PROPOSER_RANK_DELAY_MS = 1000;
// Doubled with each failure and then reduced at random by up to half, so that the first backoff is
// between this and twice this.
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 1000;
// Longer for the removal of silent members: while only this host has lost contact with a member, the
// other voters refuse its removal, and frequent attempts would be in vain.
const MAX_REMOVAL_BACKOFF_MS = 5000;

/**
 * Proposes membership changes so that the members match the live hosts. Also fetches records that
 * other hosts committed, and commits records that were accepted but not committed.
 */
export class AutomaticChanges {
  private changeNeededSince: number | null = null;

  private failures = 0;

  private backoffUntil = 0;

  constructor(
    private readonly replica: Replica,
    private readonly proposals: ProposalQueue,
  ) {}

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, events } = this.replica.parts;
    while (!signal.aborted) {
      try {
        await this.tick();
      } catch (error) {
        events.emit(FLEET_EVENTS.taskFailed, { error: String(error) });
      }
      await waitUntil(clock, clock.now() + TICK_MS, signal);
    }
  }

  private async tick(): Promise<void> {
    const { acceptor, parts } = this.replica;
    await this.catchUp();
    if (parts.clock.now() < this.backoffUntil) return;
    if (acceptor.accepted !== null) await this.complete();
    else await this.changeMembers();
  }

  /** Reads the record from a random host that announces a newer epoch. */
  private async catchUp(): Promise<void> {
    const { acceptor, heartbeats, parts, peers } = this.replica;
    const newerPeers = heartbeats.peersAtEpoch(acceptor.heldEpoch + 1);
    if (newerPeers.length === 0) return;
    const state = await peers.readRecord(newerPeers[parts.random.integer(newerPeers.length)]!);
    if (state === null) return;
    if (state.committed !== null && state.committed.epoch > acceptor.epoch) {
      await this.replica.adopt(state.committed);
    }
    // The accepted record of the other host is remembered as this host's own until a record of its
    // epoch is committed; `complete` proposes it again after COMPLETION_DELAY_MS or more.
    if (state.accepted !== null && acceptor.accepted === null) {
      acceptor.learnAccepted(state.accepted, parts.clock.now());
    }
  }

  /** Proposes the accepted record again if it has not been committed in time. */
  private async complete(): Promise<void> {
    const { acceptor, parts } = this.replica;
    const delay = COMPLETION_DELAY_MS * (1 + parts.random.next());
    const { accepted } = acceptor;
    if (accepted === null || parts.clock.now() < acceptor.acceptedAt + delay) return;
    this.handleResult(
      await this.proposals.runExclusive(() => this.proposals.completeAccepted(accepted)),
    );
  }

  private async changeMembers(): Promise<void> {
    const basis = this.membershipBasis();
    const required = requiredChange(basis);
    if (required === null) {
      this.changeNeededSince = null;
      this.failures = 0;
      return;
    }
    this.changeNeededSince ??= basis.now;
    // A leaving host proposes its own removal at once, since it waits for it before it stops.
    const rank = basis.leaving ? 0 : proposerRank(basis);
    if (basis.now < this.changeNeededSince + rank * PROPOSER_RANK_DELAY_MS) return;
    const maxBackoff = required.silentHosts.length > 0 ? MAX_REMOVAL_BACKOFF_MS : MAX_BACKOFF_MS;
    const result = await this.proposals.runExclusive(() => this.proposeMembers());
    if (result !== null) this.handleResult(result, maxBackoff);
  }

  private async proposeMembers(): Promise<ProposalResult | null> {
    // The record may have changed while other proposals were running.
    const required = requiredChange(this.membershipBasis());
    if (required === null) return null;
    const { acceptor, parts } = this.replica;
    const orderId = `auto-${acceptor.epoch + 1}-${parts.hostId}`;
    const { members, reason, silentHosts } = required;
    return this.proposals.proposeChange({ members }, orderId, reason, silentHosts);
  }

  private handleResult(result: ProposalResult, maxBackoff = MAX_BACKOFF_MS): void {
    const { clock, events, random } = this.replica.parts;
    // 'superseded' means that this host now holds a committed record of that epoch or a later one. The
    // next tick compares the members with this record, so earlier failures no longer matter.
    if (result.kind === 'chosen' || result.kind === 'superseded') {
      this.changeNeededSince = null;
      this.failures = 0;
      return;
    }
    this.failures += 1;
    const backoff = Math.min(maxBackoff, MIN_BACKOFF_MS * 2 ** this.failures);
    this.backoffUntil = clock.now() + backoff * (0.5 + random.next() / 2);
    events.emit(FLEET_EVENTS.changeFailed, { result: result.kind, failures: this.failures });
  }

  private membershipBasis(): MembershipBasis {
    const { acceptor, heartbeats, leaving, parts } = this.replica;
    return {
      hostId: parts.hostId,
      leaving,
      record: acceptor.committed,
      hosts: this.replica.hosts(),
      heartbeats,
      now: parts.clock.now(),
    };
  }
}
