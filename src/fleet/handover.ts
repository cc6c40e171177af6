import { type Clock } from '../runtime';
import { type Target } from '../sheet';

import { type FleetState } from './fleetState';
import { type InheritedState, type OwnedTarget } from './ownedTarget';
import { type ReleaseInbox } from './releaseInbox';
import { VIEW_LIFETIME_MS } from './timing';

interface Ownership {
  readonly usableFrom: number;
  readonly inherited: InheritedState | null;
  /** Epoch whose release makes the target usable. */
  readonly releaseEpoch: number;
}

/** A target that moved from this host to another one. */
export interface DepartingTarget {
  readonly target: Target;
  readonly newOwner: string;
  readonly epoch: number;
  /** What this host still holds of calls of the owner before it. */
  readonly inherited: InheritedState | null;
  /** From then on no call of an earlier owner is unaccounted for. */
  readonly knownFrom: number;
  /** Epoch of the release that settles the earlier owner's calls before `knownFrom`. */
  readonly releaseEpoch: number;
}

/** Decides from when on this host may use each target that it owns (section 5). */
export class Handover {
  private readonly ownerships = new Map<string, Ownership>();

  private state: FleetState | null = null;

  /** When targets left the sheet; their last calls may still run if they come back. */
  private readonly unlistedAt = new Map<string, number>();

  constructor(
    private readonly hostId: string,
    private readonly clock: Clock,
    private readonly inbox: ReleaseInbox,
  ) {}

  /**
   * Moves to a newer state; returns what must be released. `viewWasCurrent` tells that the view
   * had not expired until now, so that nobody can have taken over targets without a release;
   * `startsFleet` that this host took part in the start of the whole fleet.
   */
  apply(
    next: FleetState,
    viewWasCurrent: boolean,
    startsFleet: boolean,
  ): readonly DepartingTarget[] {
    const previous = this.state;
    const contiguous =
      previous === null
        ? startsFleet && next.record.epoch === 1
        : next.record.epoch === previous.record.epoch + 1;
    const departing = contiguous ? this.departing(next) : [];
    this.noteUnlisted(next);
    for (const target of next.sheet.targets.values()) {
      const known = this.ownerships.get(target.target);
      if (next.assignment.owners.get(target.target) !== this.hostId) {
        this.ownerships.delete(target.target);
      } else if (known === undefined || !(contiguous || viewWasCurrent)) {
        this.ownerships.set(target.target, this.gain(target, next, contiguous));
      }
    }
    for (const targetId of this.ownerships.keys()) {
      if (!next.sheet.targets.has(targetId)) this.ownerships.delete(targetId);
    }
    this.state = next;
    return departing;
  }

  /** Takes in releases that arrived; returns true when a target became usable. */
  applyReleases(): boolean {
    const now = this.clock.now();
    let changed = false;
    for (const [targetId, ownership] of this.ownerships) {
      if (ownership.usableFrom <= now) continue;
      const inherited = this.inbox.find(targetId, ownership.releaseEpoch);
      if (inherited === null) continue;
      this.ownerships.set(targetId, { ...ownership, usableFrom: now, inherited });
      changed = true;
    }
    return changed;
  }

  /** The targets that this host owns, with the time from which it may use them. */
  owned(): ReadonlyMap<string, OwnedTarget> {
    const { state } = this;
    const owned = new Map<string, OwnedTarget>();
    if (state === null) return owned;
    for (const [targetId, { usableFrom, inherited }] of this.ownerships) {
      const target = state.sheet.targets.get(targetId)!;
      const inService = !state.record.zonesOut.includes(target.zone);
      owned.set(targetId, Object.freeze({ target, usableFrom, inherited, inService }));
    }
    return owned;
  }

  /** Longest time until calls of an owner that does not release the target have ended. */
  static longestWait(target: Target, state: FleetState): number {
    return VIEW_LIFETIME_MS + state.sheet.services.get(target.service)!.time_limit_ms;
  }

  /** Time after which a release of any target serves no purpose. */
  static longestRelease(state: FleetState): number {
    const limits = [...state.sheet.services.values()].map((service) => service.time_limit_ms);
    return VIEW_LIFETIME_MS + Math.max(0, ...limits);
  }

  private departing(next: FleetState): readonly DepartingTarget[] {
    const departing: DepartingTarget[] = [];
    for (const [targetId, ownership] of this.ownerships) {
      const target = next.sheet.targets.get(targetId);
      const newOwner = next.assignment.owners.get(targetId);
      if (target === undefined || newOwner === undefined || newOwner === this.hostId) continue;
      departing.push({
        target,
        newOwner,
        epoch: next.record.epoch,
        inherited: ownership.inherited,
        knownFrom: ownership.usableFrom,
        releaseEpoch: ownership.releaseEpoch,
      });
    }
    return departing;
  }

  private gain(target: Target, next: FleetState, contiguous: boolean): Ownership {
    const now = this.clock.now();
    const { epoch } = next.record;
    const inherited = this.inbox.find(target.target, epoch);
    if (inherited !== null) return { usableFrom: now, inherited, releaseEpoch: epoch };
    const wait = Handover.longestWait(target, next);
    // Epoch 1 follows a start of the whole fleet; before it, nobody had a view to act on.
    const first = contiguous && epoch === 1;
    const unseen = contiguous && !this.state?.sheet.targets.has(target.target);
    if (first || unseen) {
      const unlistedAt = this.unlistedAt.get(target.target);
      const usableFrom = unlistedAt === undefined ? now : Math.max(now, unlistedAt + wait);
      return { usableFrom, inherited: null, releaseEpoch: epoch };
    }
    return { usableFrom: now + wait, inherited: null, releaseEpoch: epoch };
  }

  private noteUnlisted(next: FleetState): void {
    const now = this.clock.now();
    for (const targetId of this.state?.sheet.targets.keys() ?? []) {
      if (!next.sheet.targets.has(targetId)) this.unlistedAt.set(targetId, now);
    }
    // Longer than any wait that a sheet can ask for, so an entry is never needed after this.
    const expired = now - 2 * VIEW_LIFETIME_MS - 120_000;
    for (const [targetId, at] of this.unlistedAt)
      if (at < expired) this.unlistedAt.delete(targetId);
  }
}
