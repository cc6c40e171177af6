import { type Owner } from '../fleet';
import { type Random } from '../runtime';

import { type CallTraits } from './callTraits';
import { OwnerCandidate } from './ownerCandidate';
import { type PoolState } from './poolState';

const TRIAL_INTERVAL_MS = 250;
const EJECTION_REFRESH_MS = 100;
const MAX_DRAWS = 8;

/** The host of an owner table, where calls enter the fleet. */
export interface EntryHost {
  readonly hostId: string;
  readonly zone: string;
  /** Number of hosts among which the trial calls to an owner are divided. */
  readonly memberCount: number;
}

/** A chosen candidate with the reason for the choice. */
export interface OwnerChoice {
  readonly candidate: OwnerCandidate;
  readonly reason: string;
}

/** The owners of the targets of one service, with their load as known to the entry host. */
export class OwnerTable {
  private byHost = new Map<string, OwnerCandidate>();

  private all: readonly OwnerCandidate[] = [];

  private sameZone: readonly OwnerCandidate[] = [];

  private entryHost: EntryHost = { hostId: '', zone: '', memberCount: 1 };

  private mayEject = true;

  private ejectionRefreshAt = 0;

  /** The candidate that stands for this host; null when it owns no target of the service. */
  own: OwnerCandidate | null = null;

  constructor(private readonly random: Random) {}

  get size(): number {
    return this.all.length;
  }

  /** Applies the owners of a new view; owners that stay keep their reports and counts. */
  apply(owners: readonly Owner[], entryHost: EntryHost): void {
    const known = this.byHost;
    this.entryHost = entryHost;
    this.all = owners.map((owner) => {
      const candidate =
        known.get(owner.host.host) ??
        new OwnerCandidate(owner, owner.host.host === entryHost.hostId);
      candidate.owner = owner;
      return candidate;
    });
    this.byHost = new Map(this.all.map((each) => [each.owner.host.host, each]));
    this.sameZone = this.all.filter((each) => each.owner.host.zone === entryHost.zone);
    this.own = this.all.find((each) => each.own) ?? null;
  }

  /** Slots in a zone that belong to other owners, except owners that reported no usable slots. */
  usableSlots(zone: string, now: number): number {
    return this.all
      .filter((candidate) => !candidate.own && !candidate.isEjected(now))
      .flatMap((candidate) => candidate.owner.targets)
      .filter((target) => target.zone === zone)
      .reduce((sum, target) => sum + target.slots, 0);
  }

  applyReport(hostId: string, state: PoolState, now: number): void {
    this.byHost.get(hostId)?.applyReport(state, now, this.nextTrialAt(now));
  }

  /** The less loaded of two random owners; the own zone comes first while it has free slots. */
  choose(call: CallTraits, exclude: ReadonlySet<string>, now: number): OwnerChoice | null {
    this.refreshEjection(now);
    const sameZoneChoice = this.chooseOfTwo(this.sameZone, call, exclude, now);
    if (sameZoneChoice !== null && sameZoneChoice.candidate.score(now) < 1) return sameZoneChoice;
    const anyZoneChoice = this.chooseOfTwo(this.all, call, exclude, now) ?? sameZoneChoice;
    return anyZoneChoice ?? this.leastLoaded(exclude, now);
  }

  private chooseOfTwo(
    candidates: readonly OwnerCandidate[],
    call: CallTraits,
    exclude: ReadonlySet<string>,
    now: number,
  ): OwnerChoice | null {
    if (candidates.length === 0) return null;
    let first: OwnerCandidate | null = null;
    for (let draw = 0; draw < MAX_DRAWS; draw += 1) {
      const candidate = candidates[this.random.integer(candidates.length)]!;
      if (exclude.has(candidate.owner.host.host) || candidate.isAvoided(now)) continue;
      if (this.mayEject && candidate.isEjected(now)) {
        if (!call.idempotent || !candidate.isTrialDue(now)) continue;
        candidate.recordTrial(this.nextTrialAt(now));
        return { candidate, reason: 'trial of an owner that holds back its targets' };
      }
      if (first === null) first = candidate;
      else if (candidate !== first) {
        const better = candidate.score(now) < first.score(now) ? candidate : first;
        return { candidate: better, reason: 'less loaded of two owners' };
      }
    }
    return first === null ? null : { candidate: first, reason: 'only owner drawn' };
  }

  /** Fallback when no random draw fits, for example when most owners just refused a call. */
  private leastLoaded(exclude: ReadonlySet<string>, now: number): OwnerChoice | null {
    let best: OwnerCandidate | null = null;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const candidate of this.all) {
      if (exclude.has(candidate.owner.host.host)) continue;
      const isEjected = this.mayEject && candidate.isEjected(now);
      const score =
        candidate.score(now) + (isEjected ? 1000 : 0) + (candidate.isAvoided(now) ? 1000 : 0);
      if (score >= bestScore) continue;
      best = candidate;
      bestScore = score;
    }
    return best === null ? null : { candidate: best, reason: 'least loaded owner left' };
  }

  /** Disables ejection while owners without usable slots hold more than half of all slots. */
  private refreshEjection(now: number): void {
    if (now < this.ejectionRefreshAt) return;
    this.ejectionRefreshAt = now + EJECTION_REFRESH_MS;
    let slots = 0;
    let ejectedSlots = 0;
    for (const candidate of this.all) {
      slots += candidate.owner.slots;
      if (candidate.isEjected(now)) ejectedSlots += candidate.owner.slots;
    }
    this.mayEject = ejectedSlots * 2 <= slots;
  }

  /** Random time of the next trial, so that an owner gets about one from all hosts every 250 ms. */
  private nextTrialAt(now: number): number {
    return now + TRIAL_INTERVAL_MS * this.entryHost.memberCount * (0.5 + this.random.next());
  }
}
