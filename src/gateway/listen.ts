import { type Server } from 'node:http';
import { type AddressInfo } from 'node:net';

import { Err, Ok, type Result } from 'ts-results';

import { type Lifecycle } from '../lifecycle';

import { UnusedConnections } from './unusedConnections';

/** Why a server could not listen. */
export interface ListenError {
  readonly address: string;
  readonly port: number;
  readonly detail: string;
}

const IDLE_CHECK_INTERVAL_MS = 50;

function closeServer(server: Server, unused: UnusedConnections): Promise<void> {
  return new Promise((resolve) => {
    // A connection whose call ends after the close would else stay open for its idle limit.
    const idleCheck = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS);
    server.close(() => {
      clearInterval(idleCheck);
      resolve();
    });
    server.closeIdleConnections();
    unused.close();
  });
}

/** Starts `server`, gives it to the life cycle, and returns the port that it listens on. */
export function listen(
  server: Server,
  address: string,
  port: number,
  lifecycle: Lifecycle,
): Promise<Result<number, ListenError>> {
  const unused = new UnusedConnections(server);
  return new Promise((resolve) => {
    server.once('error', (error) => resolve(Err({ address, port, detail: error.message })));
    server.listen(port, address, () => {
      lifecycle.own(`server on port ${port}`, () => closeServer(server, unused));
      resolve(Ok((server.address() as AddressInfo).port));
    });
  });
}
