import { type Result } from 'ts-results';

import { type HeartbeatStatus } from '../peer';
import { waitUntil } from '../runtime';
import { type Sheet } from '../sheet';

import { AutomaticChanges } from './automaticChanges';
import { ProposalQueue } from './proposalQueue';
import { Establishment } from './establishment';
import { FLEET_EVENTS } from './events';
import { type Fleet } from './fleet';
import { type FleetView } from './fleetView';
import { type Acceptance, type Order, type Rejection } from './order';
import { OrderProcessor } from './orderDesk';
import { Replica } from './replica';
import { type ReplicaParts } from './replicaParts';
import { fromWire, stateToWire, voteToWire } from './wire';

const LEAVE_POLL_MS = 50;

/** Fleet whose record is agreed on by the hosts of a region (docs/design.md, section 5). */
export class ReplicatedFleet implements Fleet {
  private readonly replica: Replica;

  private readonly proposals: ProposalQueue;

  private readonly orders: OrderProcessor;

  private readonly stopController = new AbortController();

  constructor(private readonly parts: ReplicaParts) {
    this.replica = new Replica(parts);
    this.proposals = new ProposalQueue(this.replica);
    this.orders = new OrderProcessor(this.replica, this.proposals);
    this.registerHandlers();
  }

  /** Connects to the peers and starts the background tasks; returns immediately. */
  start(): void {
    this.replica.connect();
    this.parts.transport.startHeartbeats(
      () => this.replica.status(),
      (heartbeat) => this.replica.receiveHeartbeat(heartbeat),
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

  /** Proposes a sheet published by the configuration service; idempotent. */
  publish(sheet: Sheet): Promise<Result<Acceptance, Rejection>> {
    return this.submit({
      kind: 'load-sheet',
      id: `sheet-${sheet.version}-${sheet.fingerprint}`,
      sheet,
    });
  }

  /** True when this host may serve callers: it is established, its view is current and it stays. */
  isReady(): boolean {
    return this.replica.isViewCurrent() && !this.replica.leaving;
  }

  /** True when this host has recovered enough state to vote. */
  isEstablished(): boolean {
    return this.replica.acceptor.established;
  }

  /** The status that this host sends in its heartbeats. */
  status(): HeartbeatStatus {
    return this.replica.status();
  }

  /** Hosts with recent contact in both directions, including this one. */
  liveHosts(): readonly string[] {
    return this.replica.liveHosts();
  }

  /** Drains this host; resolves when its targets are handed over, or at `deadline`. */
  async leave(deadline: number): Promise<void> {
    const { clock, hostId } = this.parts;
    this.replica.leaving = true;
    const isMember = () => this.view()?.record.members.includes(hostId) ?? false;
    while (isMember() && clock.now() < deadline) {
      await waitUntil(clock, clock.now() + LEAVE_POLL_MS);
    }
    const waitController = new AbortController();
    await Promise.race([
      this.replica.releases.whenIdle(),
      waitUntil(clock, deadline, waitController.signal),
    ]);
    waitController.abort();
  }

  /** Ends all background tasks; whoever created the transport closes it. */
  close(): void {
    this.stopController.abort();
    this.replica.releases.close();
  }

  private async run(): Promise<void> {
    const { signal } = this.stopController;
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
    await new AutomaticChanges(this.replica, this.proposals).run(signal);
  }

  private registerHandlers(): void {
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
