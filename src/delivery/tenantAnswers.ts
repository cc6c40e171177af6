import { type KeyValidity } from '../freshness';

import { type OwnAnswer } from './callerAnswer';
import { type QuotaDecision } from './quotaDecision';
import { type TenantRefusal } from './tenantRefusal';

// A caller that is told to come back at once would only find the same state again.
const MIN_RETRY_AFTER_MS = 20;

function notRun(reason: TenantRefusal, retryAfterMs: number): OwnAnswer {
  return { kind: 'notRun', reason, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs) };
}

/** Answer to a call that needs a key while keys may not be used. */
export function staleKeys(keys: KeyValidity): OwnAnswer {
  return notRun('staleKeys', keys.retryAfterMs());
}

/** Answer to a call whose key is unknown to a configuration that may be out of date. */
export function unprovenKey(keys: KeyValidity): OwnAnswer {
  return notRun('unknownKey', keys.retryAfterMs());
}

/** Answer to a call that its tenant's limit does not allow; null if it was granted. */
export function quotaAnswer(decision: QuotaDecision): OwnAnswer | null {
  if (decision.kind === 'granted') return null;
  const reason = decision.kind === 'exceeded' ? 'quotaExceeded' : 'quotaUnknown';
  return notRun(reason, decision.retryAfterMs);
}
