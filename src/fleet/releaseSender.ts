import { type Clock, waitUntil } from '../runtime';

import { type FleetPeers } from './fleetPeers';
import { type DepartingTarget } from './handover';
import { type HandoverSource, type ReleasedState } from './handoverSource';
import { type InheritedState } from './ownedTarget';
import { type ReleaseInbox } from './releaseInbox';

/** Dependencies of a release sender. */
export interface ReleaseContext {
  readonly hostId: string;
  readonly clock: Clock;
  readonly peers: FleetPeers;
  readonly inbox: ReleaseInbox;
  readonly source: HandoverSource;
}

const RETRY_INTERVAL_MS = 250;
const SETTLE_POLL_MS = 50;

const NO_CALLS_SENT: ReleasedState = {
  callsInFlight: 0,
  lastDeadline: 0,
  limit: 0,
  coldUntil: 0,
  instance: '',
};

/** Converts state inherited from the previous owner to state that can be released again. */
function toReleasedState(inherited: InheritedState | null): ReleasedState {
  if (inherited === null) return NO_CALLS_SENT;
  const { callsInFlight, coldUntil, instance, limit, reservedUntil } = inherited;
  return { callsInFlight, lastDeadline: reservedUntil, limit, coldUntil, instance };
}

/** Sends releases of targets that moved to other hosts, with retries until confirmed or expired. */
export class ReleaseSender {
  private readonly pending = new Set<Promise<void>>();

  private isClosed = false;

  constructor(private readonly context: ReleaseContext) {}

  /** Releases targets; must be called after the view that ends the ownership was applied. */
  send(targets: readonly DepartingTarget[], deadline: number): void {
    for (const target of targets) {
      const ownState = this.context.source.describe(target.target.target);
      const task = this.release(target, ownState, deadline).finally(() =>
        this.pending.delete(task),
      );
      this.pending.add(task);
    }
  }

  /** Resolves when no release is in progress. */
  async whenIdle(): Promise<void> {
    while (this.pending.size > 0) await Promise.all(this.pending);
  }

  /** Abandons releases that are not confirmed yet. */
  close(): void {
    this.isClosed = true;
  }

  private async release(
    target: DepartingTarget,
    ownState: ReleasedState | null,
    deadline: number,
  ): Promise<void> {
    const { clock } = this.context;
    const wasUsable = clock.now() >= target.callsKnownFrom;
    const state = wasUsable
      ? (ownState ?? toReleasedState(target.inherited))
      : await this.inheritedCalls(target);
    while (clock.now() < deadline && !this.isClosed) {
      if (await this.sendOnce(target, state)) return;
      await waitUntil(clock, clock.now() + RETRY_INTERVAL_MS);
    }
  }

  /** Waits for the previous owner's calls to a target that this host never used. */
  private async inheritedCalls(target: DepartingTarget): Promise<ReleasedState> {
    const { clock, inbox } = this.context;
    while (clock.now() < target.callsKnownFrom && !this.isClosed) {
      const release = inbox.find(target.target.target, target.releaseEpoch);
      if (release !== null) return toReleasedState(release);
      await waitUntil(clock, clock.now() + SETTLE_POLL_MS);
    }
    return NO_CALLS_SENT;
  }

  private sendOnce(target: DepartingTarget, state: ReleasedState): Promise<boolean> {
    const { clock, hostId, peers } = this.context;
    const timeLeft = (at: number) => Math.max(0, Math.ceil(at - clock.now()));
    return peers.release(target.newOwner, {
      hostId,
      epoch: target.epoch,
      targets: [
        {
          target: target.target.target,
          callsInFlight: state.callsInFlight,
          lastDeadlineMs: timeLeft(state.lastDeadline),
          limit: state.limit,
          coldMs: timeLeft(state.coldUntil),
          instance: state.instance,
        },
      ],
    });
  }
}
