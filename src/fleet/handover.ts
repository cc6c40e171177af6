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
  /** State that this host inherited from the previous owner. */
  readonly inherited: InheritedState | null;
  /** Monotonic time from which all calls of earlier owners are accounted for. */
  readonly callsKnownFrom: number;
  /** Epoch of the release that accounts for the previous owner's calls before `callsKnownFrom`. */
  readonly releaseEpoch: number;
}

/** Decides when this host may start to use each target it owns (docs/design.md, section 5). */
export class Handover {
  private readonly ownerships = new Map<string, Ownership>();

  private state: FleetState | null = null;

  /** When targets left the sheet; their last calls may still run if they are listed again. */
  private readonly unlistedAt = new Map<string, number>();

  constructor(
    private readonly hostId: string,
    private readonly clock: Clock,
    private readonly inbox: ReleaseInbox,
  ) {}

  /**
   * Applies a newer state and returns the targets to release. `wasViewCurrent` is true when the
   * view had not expired until now, so no other host can have taken over targets without a
   * release; `isFleetStart` is true when this host took part in the start of the whole fleet.
   */
  apply(
    next: FleetState,
    wasViewCurrent: boolean,
    isFleetStart: boolean,
  ): readonly DepartingTarget[] {
    const previous = this.state;
    const isContiguous =
      previous === null
        ? isFleetStart && next.record.epoch === 1
        : next.record.epoch === previous.record.epoch + 1;
    const departing = isContiguous ? this.findDeparting(next) : [];
    this.recordUnlisted(next);
    for (const target of next.sheet.targets.values()) {
      const ownership = this.ownerships.get(target.target);
      if (next.assignment.owners.get(target.target) !== this.hostId) {
        this.ownerships.delete(target.target);
      } else if (ownership === undefined || !(isContiguous || wasViewCurrent)) {
        this.ownerships.set(target.target, this.gainOwnership(target, next, isContiguous));
      }
    }
    for (const targetId of this.ownerships.keys()) {
      if (!next.sheet.targets.has(targetId)) this.ownerships.delete(targetId);
    }
    this.state = next;
    return departing;
  }

  /** Applies received releases; returns true when a target became usable. */
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

  /** Targets owned by this host, with the time from which it may use each. */
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

  /** Time after which all calls of an owner that sends no release have ended. */
  static maxHandoverWait(target: Target, state: FleetState): number {
    return VIEW_LIFETIME_MS + state.sheet.services.get(target.service)!.time_limit_ms;
  }

  /** Time after which the release of any target has no effect. */
  static maxReleaseDuration(state: FleetState): number {
    const limits = [...state.sheet.services.values()].map((service) => service.time_limit_ms);
    return VIEW_LIFETIME_MS + Math.max(0, ...limits);
  }

  private findDeparting(next: FleetState): readonly DepartingTarget[] {
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
        callsKnownFrom: ownership.usableFrom,
        releaseEpoch: ownership.releaseEpoch,
      });
    }
    return departing;
  }

  private gainOwnership(target: Target, next: FleetState, isContiguous: boolean): Ownership {
    const now = this.clock.now();
    const { epoch } = next.record;
    const inherited = this.inbox.find(target.target, epoch);
    if (inherited !== null) return { usableFrom: now, inherited, releaseEpoch: epoch };
    const wait = Handover.maxHandoverWait(target, next);
    // Epoch 1 follows a start of the whole fleet; no host had a usable view before it.
    const isFirstEpoch = isContiguous && epoch === 1;
    const isNewTarget = isContiguous && !this.state?.sheet.targets.has(target.target);
    if (isFirstEpoch || isNewTarget) {
      const unlistedAt = this.unlistedAt.get(target.target);
      const usableFrom = unlistedAt === undefined ? now : Math.max(now, unlistedAt + wait);
      return { usableFrom, inherited: null, releaseEpoch: epoch };
    }
    return { usableFrom: now + wait, inherited: null, releaseEpoch: epoch };
  }

  private recordUnlisted(next: FleetState): void {
    const now = this.clock.now();
    for (const targetId of this.state?.sheet.targets.keys() ?? []) {
      if (!next.sheet.targets.has(targetId)) this.unlistedAt.set(targetId, now);
    }
    // Exceeds any handover wait that a sheet can require, so older entries are never needed.
    const expired = now - 2 * VIEW_LIFETIME_MS - 120_000;
    for (const [targetId, at] of this.unlistedAt)
      if (at < expired) this.unlistedAt.delete(targetId);
  }
}
