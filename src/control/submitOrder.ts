import { type Rejection } from '../fleet';
import { acceptanceSchema, type ProblemBody, rejectionKindOf } from '../operators';

import { type GatewayAnswer } from './gatewayAnswer';
import { type GatewayClient } from './gatewayClient';
import { type GatewayRequest } from './gatewayRequest';
import { type OrderResult } from './orderResult';
import { parseAnswer, parseProblem } from './parseAnswer';

// Decided by the fleet itself, so these are final even after an attempt without a response.
const FINAL_REJECTIONS: ReadonlySet<Rejection['kind'] | null> = new Set([
  'conflict',
  'invalid',
  'last-zone',
] as const);

// Another gateway may still be able to get the order accepted.
const RETRIABLE_REJECTIONS: ReadonlySet<Rejection['kind'] | null> = new Set([
  'not-ready',
  'no-quorum',
] as const);

interface AttemptResults {
  refusal: ProblemBody | null;
  isOutcomeUnknown: boolean;
  readonly details: string[];
}

/** Returns the result when the answer is final; otherwise records it in `attempts`. */
function evaluateAnswer(
  attempts: AttemptResults,
  gateway: string,
  answer: GatewayAnswer,
): OrderResult | null {
  const acceptance = parseAnswer(answer, acceptanceSchema);
  if (acceptance !== null) return { kind: 'accepted', acceptance };
  const problem = parseProblem(answer);
  const rejection = rejectionKindOf(problem);
  if (FINAL_REJECTIONS.has(rejection)) return { kind: 'refused', problem };
  attempts.details.push(`${gateway}: ${problem.detail}`);
  if (RETRIABLE_REJECTIONS.has(rejection)) attempts.refusal = problem;
  else if (answer.status >= 400 && answer.status < 500) {
    if (!attempts.isOutcomeUnknown) return { kind: 'refused', problem };
  } else attempts.isOutcomeUnknown = true;
  return null;
}

/** Sends an order to one gateway after another until a final answer; its id makes retries safe. */
export async function submitOrder(
  client: GatewayClient,
  gateways: readonly string[],
  orderRequest: GatewayRequest,
): Promise<OrderResult> {
  const attempts: AttemptResults = { refusal: null, isOutcomeUnknown: false, details: [] };
  for (const gateway of gateways) {
    const answer = await client.send(gateway, orderRequest);
    if (answer.err) {
      attempts.details.push(answer.val.detail);
      attempts.isOutcomeUnknown ||= answer.val.mayHaveArrived;
      continue;
    }
    const finalResult = evaluateAnswer(attempts, gateway, answer.val);
    if (finalResult !== null) return finalResult;
  }
  const { details, refusal } = attempts;
  if (attempts.isOutcomeUnknown) return { kind: 'unknown', details };
  return refusal === null
    ? { kind: 'unreachable', details }
    : { kind: 'refused', problem: refusal };
}
