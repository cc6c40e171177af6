import { type ReceivedHeartbeat, type HeartbeatStatus } from '../peer';
import { OperationIndex, type Sheet } from '../sheet';

import { Acceptor } from './acceptor';
import { type Ballot } from './ballot';
import { HeartbeatTracker } from './contacts';
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
import { REMOVAL_VOTE_SILENCE_MS, REMOVAL_SILENCE_MS } from './timing';
import { viewDeadline } from './viewDeadline';
import { type Vote } from './vote';

/** This host's replica of the fleet record, its acceptor and the view derived from them. */
export class Replica {
  readonly acceptor: Acceptor;

  readonly history = new RecordHistory();

  readonly heartbeats: HeartbeatTracker;

  readonly peers: FleetPeers;

  readonly inbox: ReleaseInbox;

  readonly releases: ReleaseSender;

  leaving = false;

  /** Sheet of a pending proposal; its hosts must be reachable before it takes effect. */
  private proposedSheet: Sheet | null = null;

  private state: FleetState | null = null;

  private view: FleetView | null = null;

  private readonly handover: Handover;

  private readonly listeners = new Set<(view: FleetView) => void>();

  constructor(readonly parts: ReplicaParts) {
    const { clock, hostId, handover, incarnation, transport } = parts;
    this.acceptor = new Acceptor(incarnation);
    this.heartbeats = new HeartbeatTracker(clock.now());
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

  /** The sheet in force, or the one given at start while there is no record. */
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
    const { acceptor, heartbeats, parts } = this;
    if (!acceptor.established || this.view === null) return Number.NEGATIVE_INFINITY;
    return viewDeadline(this.voters(), heartbeats, {
      hostId: parts.hostId,
      now: parts.clock.now(),
      acceptedAt: acceptor.accepted === null ? null : acceptor.acceptedAt,
    });
  }

  /** Hosts with recent contact, including this one. */
  liveHosts(): readonly string[] {
    const { clock, hostId } = this.parts;
    const since = clock.now() - REMOVAL_SILENCE_MS;
    return this.hosts().filter(
      (host) => host === hostId || this.heartbeats.lastContactAt(host) > since,
    );
  }

  isViewCurrent(): boolean {
    return this.parts.clock.now() < this.viewDeadline();
  }

  status(): HeartbeatStatus {
    const { acceptor, leaving } = this;
    return { epoch: acceptor.heldEpoch, established: acceptor.established, leaving };
  }

  receiveHeartbeat(heartbeat: ReceivedHeartbeat): void {
    this.heartbeats.receive(heartbeat, this.acceptor.epoch);
  }

  onChange(listener: (view: FleetView) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Answers a prepare request; refuses to remove a host that had contact recently. */
  prepare(epoch: number, ballot: Ballot, silentHosts: readonly string[]): Vote {
    const since = this.parts.clock.now() - REMOVAL_VOTE_SILENCE_MS;
    const reachable = silentHosts.find((host) => this.heartbeats.lastContactAt(host) > since);
    if (reachable === undefined) return this.acceptor.prepare(epoch, ballot);
    const { committed } = this.acceptor;
    return {
      granted: false,
      promised: null,
      accepted: null,
      committed: this.acceptor.epoch >= epoch ? committed : null,
      reason: `${reachable} was heard from`,
      incarnation: this.parts.incarnation,
    };
  }

  /** Answers an accept request after obtaining the sheet of the record. */
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

  /** Commits a chosen record after obtaining its sheet; resolves with the committed epoch. */
  async adopt(record: FleetRecord): Promise<number> {
    const sheet = await this.obtainSheet(record);
    if (sheet !== null) this.commit(record, sheet);
    return this.acceptor.epoch;
  }

  /** Voters of the sheet a record refers to; also connects to the hosts of that sheet. */
  async votersOfRecord(record: FleetRecord): Promise<readonly string[] | null> {
    const sheet = await this.obtainSheet(record);
    if (sheet === null) return null;
    if (sheet !== this.sheet()) {
      this.proposedSheet = sheet;
      this.connect();
    }
    return votersOf(sheet, this.parts.zone);
  }

  /** Connects to the hosts of the sheet in force and of a proposed one. */
  connect(): void {
    const sheets = [this.sheet(), ...(this.proposedSheet === null ? [] : [this.proposedSheet])];
    const hosts = new Map(
      sheets.reverse().flatMap((sheet) => [...regionHosts(sheet, this.parts.zone)]),
    );
    hosts.delete(this.parts.hostId);
    this.parts.transport.setPeers([...hosts.values()].map(peerAddress));
  }

  /** Publishes a new view when releases made targets usable. */
  applyReleases(): void {
    if (this.handover.applyReleases()) this.publishView();
  }

  private async obtainSheet(record: FleetRecord): Promise<Sheet | null> {
    const { events, hostId, sheets } = this.parts;
    const holders = [record.ballot.hostId, ...this.heartbeats.peersAtEpoch(record.epoch)];
    const others = [...new Set(holders)].filter((host) => host !== hostId);
    const sheet = await sheets.obtain(record.sheetFingerprint, others);
    if (sheet.ok) return sheet.val;
    events.emit(FLEET_EVENTS.sheetMissing, { epoch: record.epoch, error: sheet.val.detail });
    return null;
  }

  private commit(record: FleetRecord, sheet: Sheet): void {
    const wasCurrent = this.isViewCurrent();
    const { established } = this.acceptor;
    const previousEpoch = this.acceptor.epoch;
    if (!this.acceptor.commit(record)) return;
    if (this.acceptor.epoch < previousEpoch)
      throw new Error(`committed epoch fell below ${previousEpoch}`);
    this.history.add(record);
    this.state = makeFleetState(record, sheet, this.state);
    if (this.proposedSheet !== null && this.proposedSheet.version <= sheet.version) {
      this.proposedSheet = null;
    }
    this.connect();
    const departing = this.handover.apply(this.state, wasCurrent, established);
    this.publishView();
    const deadline = this.parts.clock.now() + Handover.maxReleaseDuration(this.state);
    this.releases.send(departing, deadline);
    const { epoch, orderId, reason, sheetVersion } = record;
    this.parts.events.emit(FLEET_EVENTS.epochChanged, { epoch, orderId, reason, sheetVersion });
  }

  private publishView(): void {
    const { hostId } = this.parts;
    const { assignment, record, sheet } = this.state!;
    const isSameSheet = this.view !== null && this.view.sheet === sheet;
    this.view = Object.freeze({
      hostId,
      record,
      sheet,
      operations: isSameSheet ? this.view!.operations : new OperationIndex(sheet),
      owners: groupOwners(sheet, assignment.owners, record.zonesOut),
      owned: this.handover.owned(),
    });
    for (const listener of this.listeners) listener(this.view);
  }
}
