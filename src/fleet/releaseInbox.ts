import { type ReleaseRequest } from '../peer';
import { type Clock } from '../runtime';

import { type InheritedState } from './ownedTarget';

type ReleasedTarget = ReleaseRequest['targets'][number];

interface ReceivedRelease {
  readonly epoch: number;
  readonly state: InheritedState;
}

/** Converts the remaining times of a released target to this host's clock. */
function inheritedState(target: ReleasedTarget, now: number): InheritedState {
  return Object.freeze({
    callsInFlight: target.callsInFlight,
    reservedUntil: target.callsInFlight === 0 ? 0 : now + target.lastDeadlineMs,
    limit: target.limit,
    coldUntil: target.coldMs === 0 ? 0 : now + target.coldMs,
    instance: target.instance,
  });
}

/** Received releases, including those of epochs this host does not know yet. */
export class ReleaseInbox {
  private readonly releases = new Map<string, ReceivedRelease>();

  constructor(private readonly clock: Clock) {}

  /** Keeps the newest release of each target. */
  add(release: ReleaseRequest): void {
    const now = this.clock.now();
    for (const target of release.targets) {
      const newest = this.releases.get(target.target);
      if (newest !== undefined && newest.epoch >= release.epoch) continue;
      this.releases.set(target.target, {
        epoch: release.epoch,
        state: inheritedState(target, now),
      });
    }
  }

  /** The state of `targetId` as released to this host in exactly this epoch; null if it was not. */
  find(targetId: string, epoch: number): InheritedState | null {
    const release = this.releases.get(targetId);
    return release?.epoch === epoch ? release.state : null;
  }
}
