import { type Rejection } from '../fleet';
import { acceptanceSchema, type ProblemBody, rejectionKindOf } from '../operators';

import { type GatewayAnswer } from './gatewayAnswer';
import { type GatewayClient } from './gatewayClient';
import { type GatewayRequest } from './gatewayRequest';
import { type OrderResult } from './orderResult';
import { parseAnswer, parseProblem } from './parseAnswer';

// The fleet itself gave this answer, so it also holds after an attempt without an answer.
const FINAL: ReadonlySet<Rejection['kind'] | null> = new Set([
  'conflict',
  'invalid',
  'last-zone',
] as const);

// Another gateway may still be able to bring the order to acceptance.
const NOT_ABLE: ReadonlySet<Rejection['kind'] | null> = new Set([
  'not-ready',
  'no-quorum',
] as const);

interface Attempts {
  refusal: ProblemBody | null;
  outcomeUnknown: boolean;
  readonly details: string[];
}

/** Returns the result when the answer settles the order, else notes what it says. */
function takeAnswer(
  attempts: Attempts,
  gateway: string,
  answer: GatewayAnswer,
): OrderResult | null {
  const acceptance = parseAnswer(answer, acceptanceSchema);
  if (acceptance !== null) return { kind: 'accepted', acceptance };
  const problem = parseProblem(answer);
  const rejection = rejectionKindOf(problem);
  if (FINAL.has(rejection)) return { kind: 'refused', problem };
  attempts.details.push(`${gateway}: ${problem.detail}`);
  if (NOT_ABLE.has(rejection)) attempts.refusal = problem;
  else if (answer.status >= 400 && answer.status < 500) {
    if (!attempts.outcomeUnknown) return { kind: 'refused', problem };
  } else attempts.outcomeUnknown = true;
  return null;
}

/** Gives an order to the first gateway that settles it; its id makes the repeats harmless. */
export async function submitOrder(
  client: GatewayClient,
  gateways: readonly string[],
  order: GatewayRequest,
): Promise<OrderResult> {
  const attempts: Attempts = { refusal: null, outcomeUnknown: false, details: [] };
  for (const gateway of gateways) {
    const answer = await client.send(gateway, order);
    if (answer.err) {
      attempts.details.push(answer.val.detail);
      attempts.outcomeUnknown ||= answer.val.mayHaveArrived;
      continue;
    }
    const settled = takeAnswer(attempts, gateway, answer.val);
    if (settled !== null) return settled;
  }
  const { details, refusal } = attempts;
  if (attempts.outcomeUnknown) return { kind: 'unknown', details };
  return refusal === null
    ? { kind: 'unreachable', details }
    : { kind: 'refused', problem: refusal };
}
