import { type Sheet } from '../sheet';

interface OrderHeader {
  readonly id: string;
  /** Epoch of the record on which the order was prepared; absent for the current one. */
  readonly basisEpoch?: number;
}

/** What an operator asks for; `id` makes a repeat recognisable. */
export type Order = OrderHeader &
  (
    | { readonly kind: 'zone-out'; readonly zone: string; readonly force: boolean }
    | { readonly kind: 'zone-back'; readonly zone: string }
    | { readonly kind: 'load-sheet'; readonly sheet: Sheet }
  );

/** The order holds: a majority has it, and every other host stops within the view lifetime. */
export interface Acceptance {
  readonly orderId: string;
  readonly epoch: number;
  /** True when the fleet was already in the asked state. */
  readonly unchanged: boolean;
}

/** Why an order does not hold. */
export interface Rejection {
  readonly kind:
    'conflict' | 'invalid' | 'no-quorum' | 'last-zone' | 'not-ready' | 'outcome-unknown';
  readonly detail: string;
}
