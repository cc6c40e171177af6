import { type FleetRecord } from '../fleet';
import { type Clock, rendezvousChoice } from '../runtime';

/** Time for which a host may act on a view; see section 5 of the design. */
const VIEW_LIFETIME_MS = 2000;

/** Decides whether this host, as the home of a key, knows of all claims granted elsewhere. */
export class ClaimCompleteness {
  private epoch = 0;

  private members: readonly string[] = [];

  /** Memberships since this host last knew of all claims, including the one at that time. */
  private memberships: (readonly string[])[] = [];

  private readonly awaitedHosts = new Set<string>();

  /** Latest epoch that each host has reported for; a report may arrive before the record itself. */
  private readonly reportedEpochs = new Map<string, number>();

  private completeAt = 0;

  constructor(
    private readonly hostId: string,
    private readonly clock: Clock,
  ) {}

  /** Applies a new record; `maxCallDurationMs` is the longest time limit of any service. */
  applyRecord(record: FleetRecord, maxCallDurationMs: number): void {
    if (record.epoch <= this.epoch) return;
    if (this.isComplete()) this.memberships = [this.members];
    if (record.epoch !== this.epoch + 1) this.memberships = [];
    // A removed host may still run calls until its view expires and their time limits have passed.
    const hosts = new Set([...this.members, ...record.members]);
    hosts.delete(this.hostId);
    this.awaitedHosts.clear();
    for (const host of hosts) {
      if (this.reportedEpochs.get(host) !== record.epoch) this.awaitedHosts.add(host);
    }
    this.epoch = record.epoch;
    this.members = record.members;
    this.memberships.push(record.members);
    this.completeAt = this.clock.now() + VIEW_LIFETIME_MS + maxCallDurationMs;
  }

  /** Records that a host has reported all its claims for `epoch`. */
  recordReport(hostId: string, epoch: number): void {
    if (epoch < this.epoch) return;
    this.reportedEpochs.set(hostId, epoch);
    if (epoch === this.epoch) this.awaitedHosts.delete(hostId);
  }

  /** True when this host is the home of the key according to the latest record. */
  isHome(name: string): boolean {
    return rendezvousChoice(name, this.members) === this.hostId;
  }

  /** True when a key that is unknown here cannot have been granted elsewhere. */
  isCompleteFor(name: string): boolean {
    if (this.isComplete()) return true;
    if (this.memberships.length < 2) return false;
    return this.memberships.every((members) => rendezvousChoice(name, members) === this.hostId);
  }

  private isComplete(): boolean {
    if (this.epoch === 0) return false;
    return this.awaitedHosts.size === 0 || this.clock.now() >= this.completeAt;
  }
}
