import { type ReleaseRequest } from '../peer';
import { type Clock } from '../runtime';

import { type InheritedState } from './ownedTarget';

type ReleasedTarget = ReleaseRequest['targets'][number];

interface HeldRelease {
  readonly epoch: number;
  readonly state: InheritedState;
}

/** The state of a released target on this host's clock. */
function inheritedState(target: ReleasedTarget, now: number): InheritedState {
  return Object.freeze({
    callsInFlight: target.callsInFlight,
    reservedUntil: target.callsInFlight === 0 ? 0 : now + target.lastDeadlineMs,
    limit: target.limit,
    coldUntil: target.coldMs === 0 ? 0 : now + target.coldMs,
    instance: target.instance,
  });
}

/** Releases that arrived, also before this host learned the epoch that they belong to. */
export class ReleaseInbox {
  private readonly held = new Map<string, HeldRelease>();

  constructor(private readonly clock: Clock) {}

  /** Keeps the newest release of each target. */
  add(release: ReleaseRequest): void {
    const now = this.clock.now();
    for (const target of release.targets) {
      const known = this.held.get(target.target);
      if (known !== undefined && known.epoch >= release.epoch) continue;
      this.held.set(target.target, { epoch: release.epoch, state: inheritedState(target, now) });
    }
  }

  /** The state with which `targetId` was released to this host by exactly this epoch. */
  find(targetId: string, epoch: number): InheritedState | null {
    const release = this.held.get(targetId);
    return release?.epoch === epoch ? release.state : null;
  }
}
