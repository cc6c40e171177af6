import {
  isNotRunReason,
  notRun,
  type NotRun,
  outcomeUnknown,
  type OutcomeUnknown,
} from '../outcomes';

import { collectBody } from './collectBody';
import { type Answer } from './transmission';

// A problem body is a few hundred bytes.
const MAX_PROBLEM_BYTES = 16 * 1024;

function parseProblem(body: Buffer | null): Record<string, unknown> {
  try {
    const parsed: unknown = JSON.parse(body === null ? '{}' : body.toString());
    return typeof parsed === 'object' && parsed !== null ? { ...parsed } : {};
  } catch {
    return {};
  }
}

/** Reads the outcome that an owner reported instead of an answer. */
export async function readRelayedOutcome(
  answer: Answer,
  kind: 'not-run' | 'outcome-unknown',
): Promise<NotRun | OutcomeUnknown> {
  const problem = parseProblem(await collectBody(answer, MAX_PROBLEM_BYTES));
  const detail = typeof problem.detail === 'string' ? problem.detail : 'the owner gave no detail';
  if (kind === 'outcome-unknown') {
    return outcomeUnknown(problem.reason === 'deadline' ? 'deadline' : 'connection-lost', detail);
  }
  return notRun(isNotRunReason(problem.reason) ? problem.reason : 'overloaded', detail);
}
