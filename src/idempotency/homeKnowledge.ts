import { type FleetRecord } from '../fleet';
import { type Clock, rendezvousChoice } from '../runtime';

/** Time for which a host may act on a view; see section 5 of the design. */
const VIEW_LIFETIME_MS = 2000;

/** Whether this host, as the home of a key, can know of each claim that was granted elsewhere. */
export class HomeKnowledge {
  private epoch = 0;

  private members: readonly string[] = [];

  /** Memberships since this host's knowledge was last complete, that one included. */
  private lineage: (readonly string[])[] = [];

  private readonly awaited = new Set<string>();

  /** Latest epoch that each host has reported for; a report may arrive before the epoch itself. */
  private readonly reportedEpochs = new Map<string, number>();

  private completeAt = 0;

  constructor(
    private readonly hostId: string,
    private readonly clock: Clock,
  ) {}

  /** Takes a new record; `longestCall` is the longest time limit of a service, in milliseconds. */
  learn(record: FleetRecord, longestCall: number): void {
    if (record.epoch <= this.epoch) return;
    if (this.isComplete()) this.lineage = [this.members];
    if (record.epoch !== this.epoch + 1) this.lineage = [];
    // A host that was removed may still run calls until its view and their time limits end.
    const hosts = new Set([...this.members, ...record.members]);
    hosts.delete(this.hostId);
    this.awaited.clear();
    for (const host of hosts) {
      if (this.reportedEpochs.get(host) !== record.epoch) this.awaited.add(host);
    }
    this.epoch = record.epoch;
    this.members = record.members;
    this.lineage.push(record.members);
    this.completeAt = this.clock.now() + VIEW_LIFETIME_MS + longestCall;
  }

  /** Notes that a host has told all its claims at `epoch`. */
  reported(hostId: string, epoch: number): void {
    if (epoch < this.epoch) return;
    this.reportedEpochs.set(hostId, epoch);
    if (epoch === this.epoch) this.awaited.delete(hostId);
  }

  /** True when this host is the home of the key by the latest record. */
  isHome(name: string): boolean {
    return rendezvousChoice(name, this.members) === this.hostId;
  }

  /** True when a key that is unknown here cannot have been granted elsewhere. */
  knowsAll(name: string): boolean {
    if (this.isComplete()) return true;
    if (this.lineage.length < 2) return false;
    return this.lineage.every((members) => rendezvousChoice(name, members) === this.hostId);
  }

  private isComplete(): boolean {
    if (this.epoch === 0) return false;
    return this.awaited.size === 0 || this.clock.now() >= this.completeAt;
  }
}
