import { type Clock, waitUntil } from '../runtime';
import { type Sheet } from '../sheet';

import { type Acceptor } from './acceptor';
import { type FleetPeers } from './fleetPeers';
import { type FleetRecord } from './fleetRecord';
import { gatherReplies } from './gather';
import { majorityOf } from './quorum';
import { SETTLING_TIME_MS, VIEW_LIFETIME_MS } from './timing';
import { type RecordState } from './vote';

/** Dependencies of a starting host. */
export interface EstablishmentContext {
  readonly hostId: string;
  readonly clock: Clock;
  readonly acceptor: Acceptor;
  readonly peers: FleetPeers;
  /** The sheet of the committed record, or the one given at start while there is none. */
  readonly sheet: () => Sheet;
  /** Hosts and voters of the region in that sheet. */
  readonly hosts: () => readonly string[];
  readonly voters: () => readonly string[];
  readonly adopt: (record: FleetRecord) => Promise<number>;
}

const POLL_INTERVAL_MS = 250;
const READ_TIMEOUT_MS = 1000;

type RecordStates = ReadonlyMap<string, RecordState>;

/** Recovers enough state after a start for this host to vote (docs/design.md, section 5). */
export class Establishment {
  /** When a majority of the voters was first seen to be starting too; null while it is not. */
  private startingSince: number | null = null;

  constructor(private readonly context: EstablishmentContext) {}

  /** Resolves when this host is established or `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.context;
    await waitUntil(clock, clock.now() + VIEW_LIFETIME_MS, signal);
    while (!signal.aborted) {
      if (await this.tryEstablish()) return;
      await waitUntil(clock, clock.now() + POLL_INTERVAL_MS, signal);
    }
  }

  private async tryEstablish(): Promise<boolean> {
    const { acceptor, hostId, hosts, sheet } = this.context;
    const sheetBefore = sheet();
    const voters = this.context.voters();
    const states = await this.readRecords(hosts().filter((host) => host !== hostId));
    if (!(await this.adoptHighest(states))) return false;
    // The adopted record may refer to a sheet with other voters; the next attempt asks those.
    if (sheet().fingerprint !== sheetBefore.fingerprint) return false;
    const establishedCount = voters.filter(
      (voter) => states.get(voter)?.established === true,
    ).length;
    // Established voters without a record belong to the same fleet start. Without counting them,
    // an even number of hosts might have no majority of either established or starting voters.
    const startingCount = voters.filter(
      (voter) =>
        voter === hostId ||
        states.get(voter)?.established === false ||
        states.get(voter)?.committed === null,
    ).length;
    const majority = majorityOf(voters);
    if (establishedCount < majority && !this.hasSettled(startingCount >= majority)) return false;
    this.learnAccepted(states);
    acceptor.established = true;
    return true;
  }

  private readRecords(hosts: readonly string[]): Promise<RecordStates> {
    const { clock, peers } = this.context;
    return gatherReplies(
      hosts,
      (host) => peers.readRecord(host),
      () => false,
      clock,
      clock.now() + READ_TIMEOUT_MS,
    );
  }

  /** True when a majority of the voters has been starting for SETTLING_TIME_MS. */
  private hasSettled(isFleetStarting: boolean): boolean {
    const { clock } = this.context;
    if (!isFleetStarting) {
      this.startingSince = null;
      return false;
    }
    this.startingSince ??= clock.now();
    return clock.now() >= this.startingSince + SETTLING_TIME_MS;
  }

  /** Adopts the highest committed record; false when its sheet could not be obtained. */
  private async adoptHighest(states: RecordStates): Promise<boolean> {
    const records = [...states.values()]
      .flatMap(({ committed }) => (committed === null ? [] : [committed]))
      .sort((left, right) => right.epoch - left.epoch);
    if (records[0] === undefined) return true;
    return (await this.context.adopt(records[0])) >= records[0].epoch;
  }

  private learnAccepted(states: RecordStates): void {
    const { acceptor, clock } = this.context;
    for (const { accepted } of states.values()) {
      if (accepted !== null) acceptor.learnAccepted(accepted, clock.now());
    }
  }
}
