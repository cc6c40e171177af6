import { type HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';

import { authorize } from './authorize';
import { describeStatus } from './describeStatus';
import { OPERATOR_EVENTS } from './events';
import { type OperatorContext } from './operatorContext';
import { orderRoutes } from './orderRoutes';
import { problem } from './problems';
import { readinessOf } from './readiness';
import { respondProblem } from './respondProblem';

/** Hono application with Node.js bindings. */
export type OperatorApp = Hono<{ Bindings: HttpBindings }>;

// Without authorization: the platform's balancer has no token, and these routes only reveal whether
// the gateway is up and ready.
function addHealthRoutes(app: OperatorApp, context: OperatorContext): void {
  app.get('/livez', (request) => request.text('live\n'));
  app.get('/readyz', (request) => {
    const { ready, reason } = readinessOf(context.fleet, context.clock, context.isStopping());
    return ready ? request.text('ready\n') : request.text(`${reason}\n`, 503);
  });
}

function addAuthorization(app: OperatorApp, context: OperatorContext): void {
  app.use('*', async (request, next) => {
    const remoteAddress = request.env.incoming.socket.remoteAddress ?? '';
    const refusal = authorize(context.token, {
      remoteAddress,
      authorization: request.req.header('authorization') ?? '',
      host: request.req.header('host') ?? '',
    });
    if (refusal === null) return next();
    context.events.emit(OPERATOR_EVENTS.requestRefused, { remoteAddress, path: request.req.path });
    if (refusal.status === 401) request.header('www-authenticate', 'Bearer');
    return respondProblem(request, refusal);
  });
}

function addReadRoutes(app: OperatorApp, context: OperatorContext): void {
  app.get('/status', (request) => request.json(describeStatus(context)));
  app.get('/sheet', (request) => {
    const sheet = context.fleet.view()?.sheet;
    if (sheet === undefined) {
      return respondProblem(request, problem(503, 'order-not-ready', 'no sheet is in force yet'));
    }
    return request.body(sheet.text, 200, {
      'content-type': 'text/csv; charset=utf-8',
      etag: `"${sheet.fingerprint}"`,
    });
  });
}

/** Creates the operators' HTTP interface. */
export function operatorApp(context: OperatorContext): OperatorApp {
  const app: OperatorApp = new Hono();
  addHealthRoutes(app, context);
  addAuthorization(app, context);
  addReadRoutes(app, context);
  app.route('/orders', orderRoutes(context));
  app.notFound((request) =>
    respondProblem(request, problem(404, 'not-found', `no ${request.req.method} here`)),
  );
  app.onError((error, request) => {
    context.events.emit(OPERATOR_EVENTS.requestFailed, { detail: error.message });
    return respondProblem(request, problem(500, 'internal-error', 'see the log of the gateway'));
  });
  return app;
}
