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

const IDLE_CLOSE_INTERVAL_MS = 50;

function closeServer(server: Server, unusedConnections: UnusedConnections): Promise<void> {
  return new Promise((resolve) => {
    // Without this, a connection whose call ends after the close stays open until its idle timeout.
    const idleConnectionTimer = setInterval(
      () => server.closeIdleConnections(),
      IDLE_CLOSE_INTERVAL_MS,
    );
    server.close(() => {
      clearInterval(idleConnectionTimer);
      resolve();
    });
    server.closeIdleConnections();
    unusedConnections.close();
  });
}

/** Starts `server`, registers it with the life cycle and returns the port that it listens on. */
export function listen(
  server: Server,
  address: string,
  port: number,
  lifecycle: Lifecycle,
): Promise<Result<number, ListenError>> {
  const unusedConnections = new UnusedConnections(server);
  return new Promise((resolve) => {
    server.once('error', (error) => resolve(Err({ address, port, detail: error.message })));
    server.listen(port, address, () => {
      lifecycle.own(`server on port ${port}`, () => closeServer(server, unusedConnections));
      resolve(Ok((server.address() as AddressInfo).port));
    });
  });
}
