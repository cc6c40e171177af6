import type * as z from 'zod';

import { problemBodySchema, type ProblemBody } from '../operators';

import { type GatewayAnswer } from './gatewayAnswer';

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}

/** Parses the body of a 200 response; returns null for another status or an invalid body. */
export function parseAnswer<Schema extends z.ZodType>(
  answer: GatewayAnswer,
  schema: Schema,
): z.output<Schema> | null {
  const checked = schema.safeParse(parseJson(answer.text));
  return answer.status === 200 && checked.success ? checked.data : null;
}

/** Parses a problem response; without a problem body, returns one that only states the status. */
export function parseProblem(answer: GatewayAnswer): ProblemBody {
  const checked = problemBodySchema.safeParse(parseJson(answer.text));
  if (checked.success) return checked.data;
  const { status } = answer;
  return { type: 'about:blank', title: 'no problem body', status, detail: `status ${status}` };
}
