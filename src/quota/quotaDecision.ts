/** Whether a call of a tenant may run; a refused caller may come back after `retryAfterMs`. */
export type QuotaDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'exceeded' | 'unknown'; readonly retryAfterMs: number };
