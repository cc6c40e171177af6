import { type NotRun } from './notRun';
import { type NotRunReason } from './notRunReason';
import { type OutcomeUnknown } from './outcomeUnknown';

/** Problem type of a refusal: the call did not run. */
export const NOT_RUN_TYPE = 'urn:limpetknot:problem:not-run';
/** Problem type of an answer that was lost: the call may have run. */
export const OUTCOME_UNKNOWN_TYPE = 'urn:limpetknot:problem:outcome-unknown';
/** Problem type of a repeated idempotency key whose first call is running or has ended. */
export const DUPLICATE_TYPE = 'urn:limpetknot:problem:duplicate';

/** An RFC 9457 problem with the headers that go with it. */
export interface Problem {
  readonly status: number;
  readonly title: string;
  readonly type: string;
  readonly reason: string;
  readonly detail: string;
  /** Value of Retry-After in seconds; null when a repeat is of no use. */
  readonly retryAfter: number | null;
}

interface RefusalForm {
  readonly status: number;
  readonly retryAfter: number | null;
}

const REFUSAL_FORMS: Readonly<Record<NotRunReason, RefusalForm>> = {
  'bad-request': { status: 400, retryAfter: null },
  'method-refused': { status: 405, retryAfter: null },
  'slow-request': { status: 408, retryAfter: null },
  'unknown-service': { status: 404, retryAfter: null },
  'too-large': { status: 413, retryAfter: null },
  'headers-too-large': { status: 431, retryAfter: null },
  overloaded: { status: 503, retryAfter: 1 },
  'no-usable-target': { status: 503, retryAfter: 2 },
  deadline: { status: 504, retryAfter: null },
  'view-expired': { status: 503, retryAfter: 1 },
  stopping: { status: 503, retryAfter: 1 },
  'refused-by-target': { status: 503, retryAfter: 1 },
  'key-home-unreachable': { status: 503, retryAfter: 3 },
  'key-reused': { status: 422, retryAfter: null },
  duplicate: { status: 409, retryAfter: null },
  'crashes-targets': { status: 422, retryAfter: null },
};

/** The problem that tells a caller of an outcome other than a whole answer. */
export function problemOf(outcome: NotRun | OutcomeUnknown): Problem {
  if (outcome.kind === 'not-run') {
    const form = REFUSAL_FORMS[outcome.reason];
    return {
      ...form,
      title: 'The call did not run',
      type: outcome.reason === 'duplicate' ? DUPLICATE_TYPE : NOT_RUN_TYPE,
      reason: outcome.reason,
      detail: outcome.detail,
    };
  }
  return {
    status: outcome.cause === 'deadline' ? 504 : 502,
    retryAfter: null,
    title: 'The outcome of the call is unknown',
    type: OUTCOME_UNKNOWN_TYPE,
    reason: outcome.cause,
    detail: outcome.detail,
  };
}
