/** Whether a tenant's limit allows one more call; `unknown` if that could not be found out in time. */
export type QuotaDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'exceeded' | 'unknown'; readonly retryAfterMs: number };
