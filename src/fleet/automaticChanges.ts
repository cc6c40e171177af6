import { waitUntil } from '../runtime';

import { type Changes } from './changes';
import { FLEET_EVENTS } from './events';
import { type MembershipBasis, neededChange, proposerRank } from './membership';
import { type ProposalResult } from './proposer';
import { type Replica } from './replica';
import { COMPLETION_DELAY_MS } from './timing';

const TICK_MS = 100;
// A host further down in the order proposes when those before it have not.
const RANK_DELAY_MS = 1000;
const SHORTEST_BACKOFF_MS = 200;
const LONGEST_BACKOFF_MS = 1000;
// Voters that still hear a member refuse its removal for as long as only this host cannot.
const LONGEST_REMOVAL_BACKOFF_MS = 5000;

/** Keeps the record complete, caught up, and its members in line with the hosts that live. */
export class AutomaticChanges {
  private neededSince: number | null = null;

  private failures = 0;

  private pausedUntil = 0;

  constructor(
    private readonly replica: Replica,
    private readonly changes: Changes,
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
    if (parts.clock.now() < this.pausedUntil) return;
    if (acceptor.accepted !== null) await this.complete();
    else await this.changeMembers();
  }

  /** Reads the record of a host that holds a newer one. */
  private async catchUp(): Promise<void> {
    const { acceptor, contacts, parts, peers } = this.replica;
    const holders = contacts.holding(acceptor.heldEpoch + 1);
    if (holders.length === 0) return;
    const state = await peers.readRecord(holders[parts.random.integer(holders.length)]!);
    if (state === null) return;
    if (state.committed !== null && state.committed.epoch > acceptor.epoch) {
      await this.replica.adopt(state.committed);
    }
    // Without a vote of its own this host completes what another one accepted, after the delay.
    if (state.accepted !== null && acceptor.accepted === null) {
      acceptor.learnAccepted(state.accepted, parts.clock.now());
    }
  }

  private async complete(): Promise<void> {
    const { acceptor, parts } = this.replica;
    const delay = COMPLETION_DELAY_MS * (1 + parts.random.next());
    const { accepted } = acceptor;
    if (accepted === null || parts.clock.now() < acceptor.acceptedAt + delay) return;
    this.conclude(await this.changes.exclusively(() => this.changes.complete(accepted)));
  }

  private async changeMembers(): Promise<void> {
    const basis = this.basis();
    const needed = neededChange(basis);
    if (needed === null) {
      this.neededSince = null;
      this.failures = 0;
      return;
    }
    this.neededSince ??= basis.now;
    const rank = basis.leaving ? 0 : proposerRank(basis);
    if (basis.now < this.neededSince + rank * RANK_DELAY_MS) return;
    const longest = needed.silentHosts.length > 0 ? LONGEST_REMOVAL_BACKOFF_MS : LONGEST_BACKOFF_MS;
    const result = await this.changes.exclusively(() => this.proposeMembers());
    if (result !== null) this.conclude(result, longest);
  }

  private async proposeMembers(): Promise<ProposalResult | null> {
    // The record may have changed while other proposals were running.
    const needed = neededChange(this.basis());
    if (needed === null) return null;
    const { acceptor, parts } = this.replica;
    const orderId = `auto-${acceptor.epoch + 1}-${parts.hostId}`;
    const { members, reason, silentHosts } = needed;
    return this.changes.change({ members }, orderId, reason, silentHosts);
  }

  private conclude(result: ProposalResult, longest = LONGEST_BACKOFF_MS): void {
    const { clock, events, random } = this.replica.parts;
    if (result.kind === 'chosen' || result.kind === 'superseded') {
      this.neededSince = null;
      this.failures = 0;
      return;
    }
    this.failures += 1;
    const backoff = Math.min(longest, SHORTEST_BACKOFF_MS * 2 ** this.failures);
    this.pausedUntil = clock.now() + backoff * (0.5 + random.next() / 2);
    events.emit(FLEET_EVENTS.changeFailed, { result: result.kind, failures: this.failures });
  }

  private basis(): MembershipBasis {
    const { acceptor, contacts, leaving, parts } = this.replica;
    return {
      hostId: parts.hostId,
      leaving,
      record: acceptor.committed,
      hosts: this.replica.hosts(),
      contacts,
      now: parts.clock.now(),
    };
  }
}
