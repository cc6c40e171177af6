import { type Acceptance } from '../fleet';
import { type ProblemBody } from '../operators';

/** Result of an order. */
export type OrderResult =
  | { readonly kind: 'accepted'; readonly acceptance: Acceptance }
  | { readonly kind: 'refused'; readonly problem: ProblemBody }
  | { readonly kind: 'unreachable'; readonly details: readonly string[] }
  | { readonly kind: 'unknown'; readonly details: readonly string[] };
