import { type NotRun } from './notRun';
import { type NotRunReason } from './notRunReason';
import { type OutcomeUnknown } from './outcomeUnknown';

/** Problem type of a call that did not run. */
export const NOT_RUN_TYPE = 'urn:limpetknot:problem:not-run';
/** Problem type of a call that may have run but has no complete answer. */
export const OUTCOME_UNKNOWN_TYPE = 'urn:limpetknot:problem:outcome-unknown';
/** Problem type of a reused idempotency key whose first call is running or has ended. */
export const DUPLICATE_TYPE = 'urn:limpetknot:problem:duplicate';

/** An RFC 9457 problem with its status and Retry-After header. */
export interface Problem {
  readonly status: number;
  readonly title: string;
  readonly type: string;
  readonly reason: string;
  readonly detail: string;
  /** Value of Retry-After in seconds; null if a retry is of no use. */
  readonly retryAfter: number | null;
}

interface NotRunResponse {
  readonly status: number;
  readonly retryAfter: number | null;
}

const NOT_RUN_RESPONSES: Readonly<Record<NotRunReason, NotRunResponse>> = {
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

/** The problem that reports an outcome other than a complete answer to the caller. */
export function problemOf(outcome: NotRun | OutcomeUnknown): Problem {
  if (outcome.kind === 'not-run') {
    const response = NOT_RUN_RESPONSES[outcome.reason];
    return {
      ...response,
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
