import { type Beat, type BeatStatus } from '../peer';
import { OperationIndex, type Sheet } from '../sheet';

import { Acceptor } from './acceptor';
import { type Ballot } from './ballot';
import { Contacts } from './contacts';
import { FLEET_EVENTS } from './events';
import { FleetPeers } from './fleetPeers';
import { type FleetRecord } from './fleetRecord';
import { type FleetState, makeFleetState } from './fleetState';
import { type FleetView } from './fleetView';
import { Handover } from './handover';
import { groupOwners } from './ownership';
import { peerAddress } from './peerAddresses';
import { regionHosts, votersOf } from './quorum';
import { RecordHistory } from './recordHistory';
import { ReleaseInbox } from './releaseInbox';
import { ReleaseSender } from './releaseSender';
import { type ReplicaParts } from './replicaParts';
import { CONFIRMED_SILENCE_MS, SILENCE_MS } from './timing';
import { viewDeadline } from './viewDeadline';
import { type Vote } from './vote';

/** This host's copy of the fleet record, its vote, and the view that follows from them. */
export class Replica {
  readonly acceptor: Acceptor;

  readonly history = new RecordHistory();

  readonly contacts: Contacts;

  readonly peers: FleetPeers;

  readonly inbox: ReleaseInbox;

  readonly releases: ReleaseSender;

  leaving = false;

  /** A sheet that is being proposed; its hosts must be reachable before it is in force. */
  private proposedSheet: Sheet | null = null;

  private state: FleetState | null = null;

  private view: FleetView | null = null;

  private readonly handover: Handover;

  private readonly listeners = new Set<(view: FleetView) => void>();

  constructor(readonly parts: ReplicaParts) {
    const { clock, hostId, handover, incarnation, transport } = parts;
    this.acceptor = new Acceptor(incarnation);
    this.contacts = new Contacts(clock.now());
    this.peers = new FleetPeers(transport);
    this.inbox = new ReleaseInbox(clock);
    this.handover = new Handover(hostId, clock, this.inbox);
    this.releases = new ReleaseSender({
      hostId,
      clock,
      peers: this.peers,
      inbox: this.inbox,
      source: handover,
    });
    parts.sheets.add(parts.startSheet);
  }

  currentView(): FleetView | null {
    return this.view;
  }

  /** The sheet in force, or the one given at start while no record is known. */
  sheet(): Sheet {
    return this.state?.sheet ?? this.parts.startSheet;
  }

  voters(): readonly string[] {
    return votersOf(this.sheet(), this.parts.zone);
  }

  /** Ids of all hosts of the region. */
  hosts(): readonly string[] {
    return [...regionHosts(this.sheet(), this.parts.zone).keys()];
  }

  viewDeadline(): number {
    const { acceptor, contacts, parts } = this;
    if (!acceptor.established || this.view === null) return Number.NEGATIVE_INFINITY;
    return viewDeadline(this.voters(), contacts, {
      hostId: parts.hostId,
      now: parts.clock.now(),
      acceptedAt: acceptor.accepted === null ? null : acceptor.acceptedAt,
    });
  }

  /** Hosts that are not silent, this one included. */
  liveHosts(): readonly string[] {
    const { clock, hostId } = this.parts;
    const since = clock.now() - SILENCE_MS;
    return this.hosts().filter((host) => host === hostId || this.contacts.contactAt(host) > since);
  }

  isCurrent(): boolean {
    return this.parts.clock.now() < this.viewDeadline();
  }

  status(): BeatStatus {
    const { acceptor, leaving } = this;
    return { epoch: acceptor.heldEpoch, established: acceptor.established, leaving };
  }

  learnBeat(beat: Beat): void {
    this.contacts.learn(beat, this.acceptor.epoch);
  }

  onChange(listener: (view: FleetView) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Answers a prepare request; refuses the removal of a host that was heard from lately. */
  prepare(epoch: number, ballot: Ballot, silentHosts: readonly string[]): Vote {
    const since = this.parts.clock.now() - CONFIRMED_SILENCE_MS;
    const heard = silentHosts.find((host) => this.contacts.contactAt(host) > since);
    if (heard === undefined) return this.acceptor.prepare(epoch, ballot);
    const { committed } = this.acceptor;
    return {
      granted: false,
      promised: null,
      accepted: null,
      committed: this.acceptor.epoch >= epoch ? committed : null,
      reason: `${heard} was heard from`,
      incarnation: this.parts.incarnation,
    };
  }

  /** Answers an accept request once the sheet of the record is at hand. */
  async accept(record: FleetRecord, promisedIncarnation: string): Promise<Vote> {
    const sheet = await this.obtainSheet(record);
    if (sheet !== null) {
      return this.acceptor.accept(record, promisedIncarnation, this.parts.clock.now());
    }
    return {
      granted: false,
      promised: null,
      accepted: null,
      committed: null,
      reason: 'the sheet cannot be obtained',
      incarnation: this.parts.incarnation,
    };
  }

  /** Takes over a chosen record; resolves with the epoch that is then held. */
  async adopt(record: FleetRecord): Promise<number> {
    const sheet = await this.obtainSheet(record);
    if (sheet !== null) this.commit(record, sheet);
    return this.acceptor.epoch;
  }

  /** Voters of the sheet that a record names; their hosts become reachable. */
  async votersOfRecord(record: FleetRecord): Promise<readonly string[] | null> {
    const sheet = await this.obtainSheet(record);
    if (sheet === null) return null;
    if (sheet !== this.sheet()) {
      this.proposedSheet = sheet;
      this.connect();
    }
    return votersOf(sheet, this.parts.zone);
  }

  /** Keeps heartbeats with the hosts of the sheet in force and of a proposed one. */
  connect(): void {
    const sheets = [this.sheet(), ...(this.proposedSheet === null ? [] : [this.proposedSheet])];
    const hosts = new Map(
      sheets.reverse().flatMap((sheet) => [...regionHosts(sheet, this.parts.zone)]),
    );
    hosts.delete(this.parts.hostId);
    this.parts.transport.setPeers([...hosts.values()].map(peerAddress));
  }

  /** Makes a new view when releases made targets usable. */
  applyReleases(): void {
    if (this.handover.applyReleases()) this.publishView();
  }

  private async obtainSheet(record: FleetRecord): Promise<Sheet | null> {
    const { events, hostId, sheets } = this.parts;
    const holders = [record.ballot.hostId, ...this.contacts.holding(record.epoch)];
    const others = [...new Set(holders)].filter((host) => host !== hostId);
    const sheet = await sheets.obtain(record.sheetFingerprint, others);
    if (sheet.ok) return sheet.val;
    events.emit(FLEET_EVENTS.sheetMissing, { epoch: record.epoch, error: sheet.val.detail });
    return null;
  }

  private commit(record: FleetRecord, sheet: Sheet): void {
    const wasCurrent = this.isCurrent();
    const { established } = this.acceptor;
    const before = this.acceptor.epoch;
    if (!this.acceptor.commit(record)) return;
    if (this.acceptor.epoch < before) throw new Error(`epoch fell from ${before}`);
    this.history.add(record);
    this.state = makeFleetState(record, sheet, this.state);
    if (this.proposedSheet !== null && this.proposedSheet.version <= sheet.version) {
      this.proposedSheet = null;
    }
    this.connect();
    const departing = this.handover.apply(this.state, wasCurrent, established);
    this.publishView();
    const until = this.parts.clock.now() + Handover.longestRelease(this.state);
    this.releases.send(departing, until);
    const { epoch, orderId, reason, sheetVersion } = record;
    this.parts.events.emit(FLEET_EVENTS.epochChanged, { epoch, orderId, reason, sheetVersion });
  }

  private publishView(): void {
    const { hostId } = this.parts;
    const { assignment, record, sheet } = this.state!;
    const sameSheet = this.view !== null && this.view.sheet === sheet;
    this.view = Object.freeze({
      hostId,
      record,
      sheet,
      operations: sameSheet ? this.view!.operations : new OperationIndex(sheet),
      owners: groupOwners(sheet, assignment.owners, record.zonesOut),
      owned: this.handover.owned(),
    });
    for (const listener of this.listeners) listener(this.view);
  }
}
