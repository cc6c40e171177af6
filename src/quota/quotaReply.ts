import { type QuotaResult } from '../exchange';

/** The outcome of a question; `unanswered` when no host has decided in time. */
export type QuotaReply =
  Exclude<QuotaResult, { kind: 'redirect' }> | { readonly kind: 'unanswered' };
