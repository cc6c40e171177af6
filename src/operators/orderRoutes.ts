import { type Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type * as z from 'zod';

import { type Order } from '../fleet';
import { MAX_SHEET_BYTES, parseSheet } from '../sheet';

import { type Answer } from './answer';
import { OPERATOR_EVENTS } from './events';
import { type OperatorContext } from './operatorContext';
import { orderIdSchema, zoneOrderSchema } from './orderInput';
import { problem, problemOfRejection } from './problems';
import { respondProblem } from './respondProblem';

const LARGEST_ORDER_BYTES = 4096;

function limitBody(maxSize: number) {
  return bodyLimit({
    maxSize,
    onError: (request) =>
      respondProblem(request, problem(413, 'too-large', `the body is above ${maxSize} bytes`)),
  });
}

// Prevents cross-site requests: browsers send JSON or CSV to another site only after a CORS
// preflight request.
function hasContentType(request: Context, expected: string): boolean {
  const contentType = request.req.header('content-type') ?? '';
  return contentType.split(';')[0]!.trim().toLowerCase() === expected;
}

function respondWrongContentType(request: Context, type: string): Answer {
  return respondProblem(request, problem(415, 'wrong-content-type', `the body must be ${type}`));
}

function respondBadInput(request: Context, error: z.ZodError): Answer {
  const details = error.issues.map(
    ({ path, message }) => `${path.join('.') || 'body'}: ${message}`,
  );
  return respondProblem(request, problem(400, 'bad-request', details.join('; ')));
}

async function submit(request: Context, context: OperatorContext, order: Order): Promise<Answer> {
  const { kind, id } = order;
  context.events.emit(OPERATOR_EVENTS.orderReceived, { kind, orderId: id });
  const result = await context.fleet.submit(order);
  if (result.err) {
    const { kind: reason, detail } = result.val;
    context.events.emit(OPERATOR_EVENTS.orderNotAccepted, { kind, orderId: id, reason, detail });
    return respondProblem(request, problemOfRejection(result.val));
  }
  context.events.emit(OPERATOR_EVENTS.orderAccepted, { kind, ...result.val });
  return request.json(result.val);
}

async function receiveZoneOrder(
  request: Context,
  context: OperatorContext,
  kind: 'zone-out' | 'zone-back',
): Promise<Answer> {
  if (!hasContentType(request, 'application/json'))
    return respondWrongContentType(request, 'application/json');
  const body: unknown = await request.req.json().catch(() => null);
  const input = zoneOrderSchema.safeParse(body);
  if (!input.success) return respondBadInput(request, input.error);
  const { id, zone, force } = input.data;
  const order: Order = kind === 'zone-out' ? { kind, id, zone, force } : { kind, id, zone };
  return submit(request, context, order);
}

async function receiveSheet(request: Context, context: OperatorContext): Promise<Answer> {
  if (!hasContentType(request, 'text/csv')) return respondWrongContentType(request, 'text/csv');
  const id = orderIdSchema.safeParse(request.req.query('id'));
  if (!id.success) return respondBadInput(request, id.error);
  const sheet = parseSheet(await request.req.text());
  if (sheet.err) {
    const detail = `the sheet has ${sheet.val.length} mistakes`;
    return respondProblem(request, problem(422, 'order-invalid', detail, sheet.val));
  }
  return submit(request, context, { kind: 'load-sheet', id: id.data, sheet: sheet.val });
}

/** Routes of `POST /orders/...`. */
export function orderRoutes(context: OperatorContext): Hono {
  const routes = new Hono();
  routes.use('/zone-out', limitBody(LARGEST_ORDER_BYTES));
  routes.use('/zone-back', limitBody(LARGEST_ORDER_BYTES));
  routes.use('/sheet', limitBody(MAX_SHEET_BYTES));
  routes.post('/zone-out', (request) => receiveZoneOrder(request, context, 'zone-out'));
  routes.post('/zone-back', (request) => receiveZoneOrder(request, context, 'zone-back'));
  routes.post('/sheet', (request) => receiveSheet(request, context));
  return routes;
}
