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

/** What the owner before this host released, as this host passes it on. */
function passedOn(inherited: InheritedState | null): ReleasedState {
  if (inherited === null) return NOTHING_SENT;
  const { callsInFlight, coldUntil, instance, limit, reservedUntil } = inherited;
  return { callsInFlight, lastDeadline: reservedUntil, limit, coldUntil, instance };
}

/** Sends releases of targets that moved to other hosts, until they arrive or serve no purpose. */
export class ReleaseSender {
  private readonly running = new Set<Promise<void>>();

  private readonly stopped = new AbortController();

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

  /** Gives up releases that have not arrived. */
  close(): void {
    this.stopped.abort();
  }

  private async release(
    target: DepartingTarget,
    own: ReleasedState | null,
    until: number,
  ): Promise<void> {
    const { clock } = this.context;
    const used = clock.now() >= target.knownFrom;
    const state = used ? (own ?? passedOn(target.inherited)) : await this.earlierCalls(target);
    const { signal } = this.stopped;
    while (clock.now() < until && !signal.aborted) {
      if (await this.sendOnce(target, state)) return;
      await waitUntil(clock, clock.now() + RETRY_INTERVAL_MS, signal);
    }
  }

  /** The earlier owner's calls to a target that this host never used; waits until known. */
  private async earlierCalls(target: DepartingTarget): Promise<ReleasedState> {
    const { clock, inbox } = this.context;
    const { signal } = this.stopped;
    while (clock.now() < target.knownFrom && !signal.aborted) {
      const late = inbox.find(target.target.target, target.releaseEpoch);
      if (late !== null) return passedOn(late);
      await waitUntil(clock, clock.now() + SETTLE_POLL_MS, signal);
    }
    return NOTHING_SENT;
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
