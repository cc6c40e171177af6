import { type Result } from 'ts-results';

import { type FleetView } from './fleetView';
import { type Acceptance, type Order, type Rejection } from './order';

/** This host's part in the fleet. */
export interface Fleet {
  /** The current view; null until this host knows a record and its sheet. */
  view(): FleetView | null;
  /** Monotonic time until which the view may be acted on. */
  viewDeadline(): number;
  /** Calls `listener` with each new view, until the returned function is called. */
  onChange(listener: (view: FleetView) => void): () => void;
  /** Brings an operator's order to acceptance. */
  submit(order: Order): Promise<Result<Acceptance, Rejection>>;
}
