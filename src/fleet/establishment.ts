import { type Clock, waitUntil } from '../runtime';
import { type Sheet } from '../sheet';

import { type Acceptor } from './acceptor';
import { type FleetPeers } from './fleetPeers';
import { type FleetRecord } from './fleetRecord';
import { gather } from './gather';
import { majorityOf } from './quorum';
import { SETTLING_MS, VIEW_LIFETIME_MS } from './timing';
import { type RecordState } from './vote';

/** What a starting host works with. */
export interface EstablishmentContext {
  readonly hostId: string;
  readonly clock: Clock;
  readonly acceptor: Acceptor;
  readonly peers: FleetPeers;
  /** The sheet in force as far as it is known: that of the record, or the one given at start. */
  readonly sheet: () => Sheet;
  /** Hosts and voters of the region in that sheet. */
  readonly hosts: () => readonly string[];
  readonly voters: () => readonly string[];
  readonly adopt: (record: FleetRecord) => Promise<number>;
}

const POLL_INTERVAL_MS = 250;
const READ_LIMIT_MS = 1000;

type States = ReadonlyMap<string, RecordState>;

/** Waits until this host knows enough to vote (docs/design.md, section 5). */
export class Establishment {
  /** When a majority of the voters was first seen to be starting as well. */
  private startingSince: number | null = null;

  constructor(private readonly context: EstablishmentContext) {}

  /** Resolves when this host is established, or `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.context;
    await waitUntil(clock, clock.now() + VIEW_LIFETIME_MS, signal);
    while (!signal.aborted) {
      if (await this.attempt()) return;
      await waitUntil(clock, clock.now() + POLL_INTERVAL_MS, signal);
    }
  }

  private async attempt(): Promise<boolean> {
    const { acceptor, hostId, hosts, sheet } = this.context;
    const basis = sheet();
    const voters = this.context.voters();
    const states = await this.read(hosts().filter((host) => host !== hostId));
    if (!(await this.adoptHighest(states))) return false;
    // A record may name other voters; they are asked in the next round.
    if (sheet().fingerprint !== basis.fingerprint) return false;
    const known = voters.filter((voter) => states.get(voter)?.established === true).length;
    // Established voters without a record belong to the same start of the fleet; not counting
    // them would leave an even number of hosts without a majority of either kind.
    const fresh = voters.filter(
      (voter) =>
        voter === hostId ||
        states.get(voter)?.established === false ||
        states.get(voter)?.committed === null,
    ).length;
    const majority = majorityOf(voters);
    if (known < majority && !this.settled(fresh >= majority)) return false;
    this.learnAccepted(states);
    acceptor.established = true;
    return true;
  }

  private read(hosts: readonly string[]): Promise<States> {
    const { clock, peers } = this.context;
    return gather(
      hosts,
      (host) => peers.readRecord(host),
      () => false,
      clock,
      clock.now() + READ_LIMIT_MS,
    );
  }

  /** True when the fleet as a whole has been starting for the settling time. */
  private settled(starting: boolean): boolean {
    const { clock } = this.context;
    if (!starting) {
      this.startingSince = null;
      return false;
    }
    this.startingSince ??= clock.now();
    return clock.now() >= this.startingSince + SETTLING_MS;
  }

  /** False when the sheet of the highest record could not be obtained. */
  private async adoptHighest(states: States): Promise<boolean> {
    const records = [...states.values()]
      .flatMap(({ committed }) => (committed === null ? [] : [committed]))
      .sort((left, right) => right.epoch - left.epoch);
    if (records[0] === undefined) return true;
    return (await this.context.adopt(records[0])) >= records[0].epoch;
  }

  private learnAccepted(states: States): void {
    const { acceptor, clock } = this.context;
    for (const { accepted } of states.values()) {
      if (accepted !== null) acceptor.learnAccepted(accepted, clock.now());
    }
  }
}
