import { type Catalog, type Target } from '../catalog';
import { rendezvousScore } from '../runtime';

import { identityKey } from './identityKey';
import { isLargeZone, MAX_COUNTED_USERS } from './largeZone';

// Targets of each service that a host of a large zone uses on average: as many as have this number of
// slots, so that one with a free slot and the usual pace is among them, fewer where the users of a
// target would be too many to tell each other their calls, and no fewer than the minimum.
const PREFERRED_SLOTS = 18;
const MIN_TARGETS_PER_HOST = 3;
// More targets of 1 slot cost messages and make no call less late.
const MAX_TARGETS_PER_HOST = 10;
// Hosts that share a target at least, so that it is used while one of them stops or dies.
const MIN_SHARERS = 3;

/** The host itself and its view of its zone. */
export interface ZoneView {
  readonly hostId: string;
  readonly zone: string;
  /** Live hosts of the zone that are not leaving, and this host. */
  readonly hosts: () => readonly string[];
}

/**
 * Which hosts share a target. In a large zone each target of the zone is used by a few hosts, chosen
 * by rendezvous hashing: only these need each other's reports of it and keep connections to it. In a
 * small zone all hosts use all targets.
 */
export class TargetSubsets {
  private targets: readonly Target[] = [];

  private hosts: readonly string[] = [];

  private sharers = new Map<string, readonly string[]>();

  private ownTargets = new Set<string>();

  private sharersByKey = new Map<number, readonly string[]>();

  private probers = new Map<string, string>();

  private assignments = 0;

  private meanOtherSharers = 0;

  private readonly scores = new Map<string, Map<string, number>>();

  constructor(private readonly view: ZoneView) {
    this.hosts = [view.hostId];
  }

  /** Applies a changed catalog. */
  applyCatalog(catalog: Catalog): void {
    this.targets = [...catalog.targets.values()].filter(({ zone }) => zone === this.view.zone);
    for (const id of this.scores.keys()) if (!catalog.targets.has(id)) this.scores.delete(id);
    this.assign();
  }

  /** Applies changes of the hosts of the zone, if there are any; called periodically. */
  refresh(): boolean {
    const hosts = [...this.view.hosts()].sort();
    const isSame =
      hosts.length === this.hosts.length && hosts.every((id, at) => id === this.hosts[at]);
    if (isSame) return false;
    this.forgetScoresOf(this.hosts.filter((id) => !hosts.includes(id)));
    this.hosts = hosts;
    this.assign();
    return true;
  }

  /** Whether the hosts of this zone share out the targets. */
  isActive(): boolean {
    return isLargeZone(this.hosts.length - 1);
  }

  /** Number of times that the targets were assigned. */
  version(): number {
    return this.assignments;
  }

  /** Whether this host uses the target before others. */
  has(target: string): boolean {
    return !this.isActive() || this.ownTargets.has(target);
  }

  /** Targets that this host uses before others; null for all. */
  usedTargets(): ReadonlySet<string> | null {
    return this.isActive() ? this.ownTargets : null;
  }

  /** Whether this host checks the health of the target; one host of the target's zone does. */
  isProber(target: string): boolean {
    return this.probers.get(target) === this.view.hostId;
  }

  /** Hosts of this zone that use the target; null for all. */
  sharersOf(target: string): readonly string[] | null {
    return this.isActive() ? (this.sharers.get(target) ?? []) : null;
  }

  /** Number of other hosts that use a target of this host, on average. */
  otherSharers(): number {
    return this.isActive() ? this.meanOtherSharers : this.hosts.length - 1;
  }

  /** As `sharersOf`, by the key of the target's id. */
  sharersOfKey(key: number): readonly string[] | null {
    return this.isActive() ? (this.sharersByKey.get(key) ?? []) : null;
  }

  /** Whether the users of the target tell each other their calls in flight. */
  hasInFlightBroadcasts(key: number): boolean {
    const sharers = this.sharersOfKey(key);
    if (sharers === null) return true;
    return sharers.includes(this.view.hostId) && sharers.length <= MAX_COUNTED_USERS;
  }

  private assign(): void {
    this.assignments += 1;
    this.sharers = new Map();
    this.sharersByKey = new Map();
    this.ownTargets = new Set();
    this.probers = new Map();
    const counts = new Map<string, number>();
    for (const { service } of this.targets) counts.set(service, (counts.get(service) ?? 0) + 1);
    for (const target of this.targets) {
      const targetsPerHost = Math.min(MAX_TARGETS_PER_HOST, PREFERRED_SLOTS / target.slots);
      const hostsPerTarget = this.hosts.length / counts.get(target.service)!;
      const wanted = Math.max(
        MIN_TARGETS_PER_HOST * hostsPerTarget,
        Math.min(MAX_COUNTED_USERS, targetsPerHost * hostsPerTarget),
      );
      const order = this.order(target.id);
      this.probers.set(target.id, order[0]!);
      const sharers = order.slice(0, Math.max(MIN_SHARERS, Math.ceil(wanted)));
      this.sharers.set(target.id, sharers);
      if (sharers.includes(this.view.hostId)) this.ownTargets.add(target.id);
      this.sharersByKey.set(identityKey(target.id), sharers);
    }
    this.meanOtherSharers = this.averageOtherSharers();
  }

  private forgetScoresOf(goneHosts: readonly string[]): void {
    for (const scores of this.scores.values()) for (const host of goneHosts) scores.delete(host);
  }

  private averageOtherSharers(): number {
    const counts = [...this.ownTargets].map((target) => this.sharers.get(target)!.length - 1);
    const total = counts.reduce((sum, count) => sum + count, 0);
    return counts.length === 0 ? MIN_SHARERS - 1 : total / counts.length;
  }

  /** Hosts by descending rendezvous score for the target. */
  private order(target: string): readonly string[] {
    let scores = this.scores.get(target);
    if (scores === undefined) {
      scores = new Map();
      this.scores.set(target, scores);
    }
    const scoreOf = (host: string) => {
      let score = scores.get(host);
      if (score === undefined) {
        score = rendezvousScore(target, host);
        scores.set(host, score);
      }
      return score;
    };
    return this.hosts
      .map((host) => ({ host, score: scoreOf(host) }))
      .sort((left, right) => right.score - left.score || (left.host < right.host ? -1 : 1))
      .map(({ host }) => host);
  }
}
