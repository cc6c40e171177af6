import { waitUntil } from '../runtime';

import { type RecordChange } from './evaluateOrder';
import { type FleetRecord } from './fleetRecord';
import { makeRecord } from './makeRecord';
import { type ProposalResult, Proposer } from './proposer';
import { type Replica } from './replica';

/** Runs proposals of record changes one at a time. */
export class ProposalQueue {
  private readonly proposer: Proposer;

  private lastRun: Promise<unknown> = Promise.resolve();

  constructor(private readonly replica: Replica) {
    const { parts } = replica;
    this.proposer = new Proposer({
      hostId: parts.hostId,
      clock: parts.clock,
      acceptor: replica.acceptor,
      peers: replica.peers,
      voters: () => replica.voters(),
      votersOfRecord: (record) => replica.votersOfRecord(record),
      acceptLocally: (record, incarnation) => replica.accept(record, incarnation),
      prepareLocally: (epoch, ballot, silent) => replica.prepare(epoch, ballot, silent),
      adopt: (record) => replica.adopt(record),
      commitRecipients: () => replica.hosts(),
    });
  }

  /** Runs `action` after all actions queued before it. */
  runExclusive<Value>(action: () => Promise<Value>): Promise<Value> {
    const run = this.lastRun.then(action);
    this.lastRun = run.catch(() => {});
    return run;
  }

  /** Makes one attempt to change the record in force. Call only from within `runExclusive`. */
  proposeChange(
    change: RecordChange,
    orderId: string,
    reason: string,
    silentHosts: readonly string[] = [],
  ): Promise<ProposalResult> {
    return this.proposer.propose(this.nextRecord(change, orderId, reason), silentHosts);
  }

  /** Makes one attempt to get an already accepted record chosen. */
  completeAccepted(record: FleetRecord): Promise<ProposalResult> {
    return this.proposer.propose(record, []);
  }

  /** Waits a random time of up to `milliseconds`, so that competing proposers do not collide. */
  backOff(milliseconds: number): Promise<void> {
    const { clock, random } = this.replica.parts;
    return waitUntil(clock, clock.now() + milliseconds * (0.2 + 0.8 * random.next()));
  }

  private nextRecord(change: RecordChange, orderId: string, reason: string): FleetRecord {
    const { acceptor, parts } = this.replica;
    const sheet = this.replica.sheet();
    return makeRecord({
      sheetVersion: sheet.version,
      sheetFingerprint: sheet.fingerprint,
      members: [],
      zonesOut: [],
      ...acceptor.committed,
      ...change,
      epoch: acceptor.epoch + 1,
      ballot: { round: 0, hostId: parts.hostId },
      orderId,
      reason,
    });
  }
}
