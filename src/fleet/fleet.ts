import { type Result } from 'ts-results';

import { type FleetView } from './fleetView';
import { type Acceptance, type Order, type Rejection } from './order';

/** The fleet as seen by one of its hosts. */
export interface Fleet {
  /** The current view; null until this host holds a record and its sheet. */
  view(): FleetView | null;
  /** Monotonic time at which the lease on the view ends; after it, the view must not be used. */
  viewDeadline(): number;
  /** Calls `listener` with each new view until the returned function is called. */
  onChange(listener: (view: FleetView) => void): () => void;
  /** Submits an operator's order and resolves when it is accepted or rejected. */
  submit(order: Order): Promise<Result<Acceptance, Rejection>>;
}
