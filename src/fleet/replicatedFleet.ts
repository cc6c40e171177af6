import { type Result } from 'ts-results';

import { type BeatStatus } from '../peer';
import { waitUntil } from '../runtime';
import { type Sheet } from '../sheet';

import { AutomaticChanges } from './automaticChanges';
import { Changes } from './changes';
import { Establishment } from './establishment';
import { FLEET_EVENTS } from './events';
import { type Fleet } from './fleet';
import { type FleetView } from './fleetView';
import { type Acceptance, type Order, type Rejection } from './order';
import { OrderDesk } from './orderDesk';
import { Replica } from './replica';
import { type ReplicaParts } from './replicaParts';
import { fromWire, stateToWire, voteToWire } from './wire';

const LEAVE_POLL_MS = 50;

/** The fleet as the hosts of a region agree on it (docs/design.md, section 5). */
export class ReplicatedFleet implements Fleet {
  private readonly replica: Replica;

  private readonly changes: Changes;

  private readonly orders: OrderDesk;

  private readonly stopped = new AbortController();

  constructor(private readonly parts: ReplicaParts) {
    this.replica = new Replica(parts);
    this.changes = new Changes(this.replica);
    this.orders = new OrderDesk(this.replica, this.changes);
    this.handleRequests();
  }

  /** Connects to the peers and takes part from now on; returns at once. */
  start(): void {
    this.replica.connect();
    this.parts.transport.startBeats(
      () => this.replica.status(),
      (beat) => this.replica.learnBeat(beat),
    );
    this.run().catch((error: unknown) => {
      this.parts.events.emit(FLEET_EVENTS.taskFailed, { error: String(error) });
    });
  }

  view(): FleetView | null {
    return this.replica.currentView();
  }

  viewDeadline(): number {
    return this.replica.viewDeadline();
  }

  onChange(listener: (view: FleetView) => void): () => void {
    return this.replica.onChange(listener);
  }

  submit(order: Order): Promise<Result<Acceptance, Rejection>> {
    return this.orders.submit(order);
  }

  /** Proposes a sheet that the configuration service published; a repeat changes nothing. */
  publish(sheet: Sheet): Promise<Result<Acceptance, Rejection>> {
    return this.submit({
      kind: 'load-sheet',
      id: `sheet-${sheet.version}-${sheet.fingerprint}`,
      sheet,
    });
  }

  /** True when this host may serve callers: it is established and its view is current. */
  isReady(): boolean {
    return this.replica.isCurrent() && !this.replica.leaving;
  }

  /** True when this host knows enough to vote. */
  isEstablished(): boolean {
    return this.replica.acceptor.established;
  }

  /** What this host's heartbeats say. */
  status(): BeatStatus {
    return this.replica.status();
  }

  /** Announces that this host leaves; resolves when its targets are handed over, or at `deadline`. */
  async leave(deadline: number): Promise<void> {
    const { clock, hostId } = this.parts;
    this.replica.leaving = true;
    const isMember = () => this.view()?.record.members.includes(hostId) ?? false;
    while (isMember() && clock.now() < deadline) {
      await waitUntil(clock, clock.now() + LEAVE_POLL_MS);
    }
    const late = new AbortController();
    await Promise.race([this.replica.releases.settled(), waitUntil(clock, deadline, late.signal)]);
    late.abort();
  }

  /** Ends all tasks; the transport is closed by its owner. */
  close(): void {
    this.stopped.abort();
    this.replica.releases.close();
  }

  private async run(): Promise<void> {
    const { signal } = this.stopped;
    const { acceptor, peers } = this.replica;
    const { clock, events, hostId } = this.parts;
    const establishment = new Establishment({
      hostId,
      clock,
      acceptor,
      peers,
      sheet: () => this.replica.sheet(),
      hosts: () => this.replica.hosts(),
      voters: () => this.replica.voters(),
      adopt: (record) => this.replica.adopt(record),
    });
    await establishment.run(signal);
    if (signal.aborted) return;
    events.emit(FLEET_EVENTS.established, { epoch: acceptor.epoch });
    await new AutomaticChanges(this.replica, this.changes).run(signal);
  }

  private handleRequests(): void {
    const { transport } = this.parts;
    const { replica } = this;
    transport.handle('prepare', ({ ballot, epoch, silentHosts }) =>
      voteToWire(replica.prepare(epoch, ballot ?? { round: 0, hostId: '' }, silentHosts)),
    );
    transport.handle('accept', async ({ promisedIncarnation, record }) =>
      voteToWire(await replica.accept(fromWire(record!), promisedIncarnation)),
    );
    transport.handle('commit', async ({ record }) => ({
      epoch: await replica.adopt(fromWire(record!)),
    }));
    transport.handle('readRecord', () => stateToWire(replica.acceptor.state()));
    transport.handle('release', (release) => {
      replica.inbox.add(release);
      replica.applyReleases();
      return {};
    });
  }
}
