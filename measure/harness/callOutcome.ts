import { NOT_RUN_TYPE, OUTCOME_UNKNOWN_TYPE } from '../../src/outcomes';

/** What a caller learned of its call; `broken` is a connection that ended without a whole answer. */
export type CallOutcome = 'answered' | 'failed' | 'not-run' | 'unknown' | 'broken';

/** Classifies a whole answer. */
export function outcomeOfAnswer(status: number, contentType: string, body: string): CallOutcome {
  if (status < 400) return 'answered';
  if (!contentType.startsWith('application/problem+json')) return 'failed';
  if (body.includes(NOT_RUN_TYPE)) return 'not-run';
  if (body.includes(OUTCOME_UNKNOWN_TYPE)) return 'unknown';
  return 'failed';
}
