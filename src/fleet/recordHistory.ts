import { type FleetRecord } from './fleetRecord';

const KEPT_RECORDS = 64;

/** The last records that this host committed. */
export class RecordHistory {
  private readonly records: FleetRecord[] = [];

  add(record: FleetRecord): void {
    this.records.push(record);
    if (this.records.length > KEPT_RECORDS) this.records.shift();
  }

  /** The record of an epoch; undefined when this host does not have it (any more). */
  at(epoch: number): FleetRecord | undefined {
    return this.records.findLast((record) => record.epoch === epoch);
  }

  /** The record that an order made. */
  madeBy(orderId: string): FleetRecord | undefined {
    return this.records.find((record) => record.orderId === orderId);
  }

  /** Records above `epoch`, in order. */
  after(epoch: number): readonly FleetRecord[] {
    return this.records.filter((record) => record.epoch > epoch);
  }
}
