import { type QuotaQuestion } from '../exchange';
import { type Timer } from '../runtime';

import { type QuotaReply } from './quotaReply';

/** A host that was asked, and what it was sent. */
export interface AskedHost {
  readonly message: QuotaQuestion;
  readonly sentAt: number;
}

/** A question that waits for its answer. */
export interface PendingQuestion {
  readonly number: number;
  readonly tenant: string;
  readonly key: number;
  /** Calls to return with the question to the owner. */
  readonly returned: number;
  readonly asked: Map<string, AskedHost>;
  /** Redirections that are still followed. */
  redirectsLeft: number;
  readonly timers: Timer[];
  readonly resolve: (reply: QuotaReply) => void;
}
