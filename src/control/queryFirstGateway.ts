import { Err, Ok, type Result } from 'ts-results';

import { type ProblemBody } from '../operators';

import { type GatewayAnswer } from './gatewayAnswer';
import { type GatewayClient } from './gatewayClient';
import { getRequest } from './gatewayRequest';
import { parseProblem } from './parseAnswer';

/** Why no gateway returned the resource: a refusal, or that none could be reached. */
export interface QueryError {
  readonly refusal: ProblemBody | null;
  readonly details: readonly string[];
}

/** Reads `path` from the first gateway that responds with status 200. */
export async function queryFirstGateway(
  client: GatewayClient,
  gateways: readonly string[],
  path: string,
): Promise<Result<GatewayAnswer, QueryError>> {
  let refusal: ProblemBody | null = null;
  const details: string[] = [];
  for (const gateway of gateways) {
    const answer = await client.send(gateway, getRequest(path));
    if (answer.ok && answer.val.status === 200) return Ok(answer.val);
    if (answer.err) details.push(answer.val.detail);
    else {
      refusal = parseProblem(answer.val);
      details.push(`${gateway}: ${refusal.detail}`);
    }
  }
  return Err({ refusal, details });
}
