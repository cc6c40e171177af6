import { waitUntil } from '../runtime';

import { type RecordChange } from './evaluateOrder';
import { type FleetRecord } from './fleetRecord';
import { makeRecord } from './makeRecord';
import { type ProposalResult, Proposer } from './proposer';
import { type Replica } from './replica';

/** Proposes changes of the record, one at a time. */
export class Changes {
  private readonly proposer: Proposer;

  private last: Promise<unknown> = Promise.resolve();

  constructor(private readonly replica: Replica) {
    const { parts } = replica;
    this.proposer = new Proposer({
      hostId: parts.hostId,
      clock: parts.clock,
      acceptor: replica.acceptor,
      peers: replica.peers,
      voters: () => replica.voters(),
      votersOfRecord: (record) => replica.votersOfRecord(record),
      acceptHere: (record, incarnation) => replica.accept(record, incarnation),
      prepareHere: (epoch, ballot, silent) => replica.prepare(epoch, ballot, silent),
      adopt: (record) => replica.adopt(record),
      listeners: () => replica.hosts(),
    });
  }

  /** Runs `action` after the proposals that were begun before. */
  exclusively<Value>(action: () => Promise<Value>): Promise<Value> {
    const run = this.last.then(action);
    this.last = run.catch(() => {});
    return run;
  }

  /** One attempt to change the record in force; to be run exclusively. */
  change(
    change: RecordChange,
    orderId: string,
    reason: string,
    silentHosts: readonly string[] = [],
  ): Promise<ProposalResult> {
    return this.proposer.propose(this.next(change, orderId, reason), silentHosts);
  }

  /** One attempt to have a record chosen that this host found accepted. */
  complete(record: FleetRecord): Promise<ProposalResult> {
    return this.proposer.propose(record, []);
  }

  /** Waits for a random time of up to `milliseconds`, so that two proposers do not collide again. */
  backOff(milliseconds: number): Promise<void> {
    const { clock, random } = this.replica.parts;
    return waitUntil(clock, clock.now() + milliseconds * (0.2 + 0.8 * random.next()));
  }

  private next(change: RecordChange, orderId: string, reason: string): FleetRecord {
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
