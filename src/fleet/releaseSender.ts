import { type Clock, waitUntil } from '../runtime';

import { type FleetPeers } from './fleetPeers';
import { type DepartingTarget } from './handover';
import { type HandoverSource, type ReleasedState } from './handoverSource';
import { type InheritedState } from './ownedTarget';
import { type ReleaseInbox } from './releaseInbox';

/** What a release is sent with. */
export interface ReleaseContext {
  readonly hostId: string;
  readonly clock: Clock;
  readonly peers: FleetPeers;
  readonly inbox: ReleaseInbox;
  readonly source: HandoverSource;
}

const RETRY_INTERVAL_MS = 250;
const SETTLE_POLL_MS = 50;

const NOTHING_SENT: ReleasedState = {
  callsInFlight: 0,
  lastDeadline: 0,
  limit: 0,
  coldUntil: 0,
  instance: '',
};

/** Adds calls of the owner before this one to the calls that this host has in flight itself. */
function merge(
  own: ReleasedState | null,
  inherited: InheritedState | null,
  now: number,
): ReleasedState {
  const state = own ?? {
    ...NOTHING_SENT,
    limit: inherited?.limit ?? 0,
    coldUntil: inherited?.coldUntil ?? 0,
    instance: inherited?.instance ?? '',
  };
  if (inherited === null || inherited.reservedUntil <= now) return state;
  return {
    ...state,
    callsInFlight: state.callsInFlight + inherited.callsInFlight,
    lastDeadline: Math.max(state.lastDeadline, inherited.reservedUntil),
  };
}

/** Sends releases of targets that moved to other hosts, until they arrive or serve no purpose. */
export class ReleaseSender {
  private readonly running = new Set<Promise<void>>();

  constructor(private readonly context: ReleaseContext) {}

  /** Releases targets; called after the view that ends the ownership was applied. */
  send(targets: readonly DepartingTarget[], until: number): void {
    for (const target of targets) {
      const own = this.context.source.describe(target.target.target);
      const task = this.release(target, own, until).finally(() => this.running.delete(task));
      this.running.add(task);
    }
  }

  /** Resolves when no release is under way. */
  async settled(): Promise<void> {
    while (this.running.size > 0) await Promise.all(this.running);
  }

  private async release(
    target: DepartingTarget,
    own: ReleasedState | null,
    until: number,
  ): Promise<void> {
    const inherited = await this.earlierCalls(target);
    const { clock } = this.context;
    while (clock.now() < until) {
      if (await this.sendOnce(target, merge(own, inherited, clock.now()))) return;
      await waitUntil(clock, clock.now() + RETRY_INTERVAL_MS);
    }
  }

  /** What is known of the earlier owner's calls; waits while they are unaccounted for. */
  private async earlierCalls(target: DepartingTarget): Promise<InheritedState | null> {
    const { clock, inbox } = this.context;
    if (clock.now() >= target.knownFrom) return target.inherited;
    while (clock.now() < target.knownFrom) {
      const late = inbox.find(target.target.target, target.releaseEpoch);
      if (late !== null) return late;
      await waitUntil(clock, clock.now() + SETTLE_POLL_MS);
    }
    return null;
  }

  private sendOnce(target: DepartingTarget, state: ReleasedState): Promise<boolean> {
    const { clock, hostId, peers } = this.context;
    const timeLeft = (until: number) => Math.max(0, Math.ceil(until - clock.now()));
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
