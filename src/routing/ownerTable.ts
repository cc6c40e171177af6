import { type Owner } from '../fleet';
import { type Random } from '../runtime';

import { type CallTraits } from './callTraits';
import { OwnerCandidate } from './ownerCandidate';
import { type PoolState } from './poolState';

const TRIAL_INTERVAL_MS = 250;
const RECOUNT_MS = 100;
const DRAWS = 8;

/** What an owner table knows of this host. */
export interface EntryPlace {
  readonly hostId: string;
  readonly zone: string;
  /** Number of hosts that share the trial calls to an owner. */
  readonly members: number;
}

/** A candidate with the reason for its choice. */
export interface DrawnOwner {
  readonly candidate: OwnerCandidate;
  readonly reason: string;
}

/** The owners of the targets of one service, as an entry sees them. */
export class OwnerTable {
  private byHost = new Map<string, OwnerCandidate>();

  private all: readonly OwnerCandidate[] = [];

  private sameZone: readonly OwnerCandidate[] = [];

  private place: EntryPlace = { hostId: '', zone: '', members: 1 };

  private mayHoldBack = true;

  private recountAt = 0;

  /** The candidate for this host's own targets; null when it owns none. */
  own: OwnerCandidate | null = null;

  constructor(private readonly random: Random) {}

  get size(): number {
    return this.all.length;
  }

  /** Takes over the owners of a new view; what is known of owners that stay is kept. */
  apply(owners: readonly Owner[], place: EntryPlace): void {
    const known = this.byHost;
    this.place = place;
    this.all = owners.map((owner) => {
      const candidate =
        known.get(owner.host.host) ?? new OwnerCandidate(owner, owner.host.host === place.hostId);
      candidate.owner = owner;
      return candidate;
    });
    this.byHost = new Map(this.all.map((each) => [each.owner.host.host, each]));
    this.sameZone = this.all.filter((each) => each.owner.host.zone === place.zone);
    this.own = this.all.find((each) => each.own) ?? null;
  }

  /** Slots of other owners in a zone, without those that told that they can use none. */
  usableSlots(zone: string, now: number): number {
    return this.all
      .filter((candidate) => !candidate.own && !candidate.isHeldBack(now))
      .flatMap((candidate) => candidate.owner.targets)
      .filter((target) => target.zone === zone)
      .reduce((sum, target) => sum + target.slots, 0);
  }

  learn(hostId: string, state: PoolState, now: number): void {
    this.byHost.get(hostId)?.learn(state, now, this.nextTrial(now));
  }

  /** The less loaded of two random owners; an own zone with room comes first. */
  draw(call: CallTraits, exclude: ReadonlySet<string>, now: number): DrawnOwner | null {
    this.recount(now);
    const near = this.drawTwo(this.sameZone, call, exclude, now);
    if (near !== null && near.candidate.score(now) < 1) return near;
    const any = this.drawTwo(this.all, call, exclude, now) ?? near;
    return any ?? this.leastOfAll(exclude, now);
  }

  private drawTwo(
    from: readonly OwnerCandidate[],
    call: CallTraits,
    exclude: ReadonlySet<string>,
    now: number,
  ): DrawnOwner | null {
    if (from.length === 0) return null;
    let first: OwnerCandidate | null = null;
    for (let draw = 0; draw < DRAWS; draw += 1) {
      const candidate = from[this.random.integer(from.length)]!;
      if (exclude.has(candidate.owner.host.host) || candidate.isAvoided(now)) continue;
      if (this.mayHoldBack && candidate.isHeldBack(now)) {
        if (!call.idempotent || !candidate.trialIsDue(now)) continue;
        candidate.trialStarted(this.nextTrial(now));
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

  /** Used when the draws found none, for example when most owners refused a moment ago. */
  private leastOfAll(exclude: ReadonlySet<string>, now: number): DrawnOwner | null {
    let best: OwnerCandidate | null = null;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const candidate of this.all) {
      if (exclude.has(candidate.owner.host.host)) continue;
      const held = this.mayHoldBack && candidate.isHeldBack(now);
      const score =
        candidate.score(now) + (held ? 1000 : 0) + (candidate.isAvoided(now) ? 1000 : 0);
      if (score >= bestScore) continue;
      best = candidate;
      bestScore = score;
    }
    return best === null ? null : { candidate: best, reason: 'least loaded owner left' };
  }

  /** Owners with more than half of the slots held back are used all the same. */
  private recount(now: number): void {
    if (now < this.recountAt) return;
    this.recountAt = now + RECOUNT_MS;
    let slots = 0;
    let held = 0;
    for (const candidate of this.all) {
      slots += candidate.owner.slots;
      if (candidate.isHeldBack(now)) held += candidate.owner.slots;
    }
    this.mayHoldBack = held * 2 <= slots;
  }

  /** Spreads the trials of all entries so that an owner gets about one every 250 ms. */
  private nextTrial(now: number): number {
    return now + TRIAL_INTERVAL_MS * this.place.members * (0.5 + this.random.next());
  }
}
