import { type Server } from 'node:http';

import { createAdaptorServer } from '@hono/node-server';

import { operatorApp } from './operatorApp';
import { type OperatorContext } from './operatorContext';

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;

/** Creates the server of the operators' port; starting and closing it is left to the using code. */
export function operatorServer(context: OperatorContext): Server {
  const app = operatorApp(context);
  return createAdaptorServer({
    fetch: app.fetch,
    serverOptions: { headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS },
  }) as Server;
}
