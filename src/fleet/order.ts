import { type Sheet } from '../sheet';

interface OrderHeader {
  readonly id: string;
  /** Epoch of the record the order is based on; absent for the current one. */
  readonly basisEpoch?: number;
}

/** An operator's order; `id` identifies retries of the same order. */
export type Order = OrderHeader &
  (
    | { readonly kind: 'zone-out'; readonly zone: string; readonly force: boolean }
    | { readonly kind: 'zone-back'; readonly zone: string }
    | { readonly kind: 'load-sheet'; readonly sheet: Sheet }
  );

/** The order is committed by a majority; other hosts stop acting within the view lifetime. */
export interface Acceptance {
  readonly orderId: string;
  readonly epoch: number;
  /** True when the fleet was already in the requested state. */
  readonly unchanged: boolean;
}

/** Why an order was not accepted. */
export interface Rejection {
  readonly kind:
    'conflict' | 'invalid' | 'no-quorum' | 'last-zone' | 'not-ready' | 'outcome-unknown';
  readonly detail: string;
}
