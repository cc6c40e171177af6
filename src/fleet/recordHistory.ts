import { type FleetRecord } from './fleetRecord';

const MAX_RECORDS = 64;

/** The most recent records committed by this host. */
export class RecordHistory {
  private readonly records: FleetRecord[] = [];

  add(record: FleetRecord): void {
    this.records.push(record);
    if (this.records.length > MAX_RECORDS) this.records.shift();
  }

  /** The record of an epoch; undefined when this host never had it or no longer keeps it. */
  atEpoch(epoch: number): FleetRecord | undefined {
    return this.records.findLast((record) => record.epoch === epoch);
  }

  /** The record created by an order. */
  byOrder(orderId: string): FleetRecord | undefined {
    return this.records.find((record) => record.orderId === orderId);
  }

  /** Records with an epoch above `epoch`, in order. */
  afterEpoch(epoch: number): readonly FleetRecord[] {
    return this.records.filter((record) => record.epoch > epoch);
  }
}
