import { type Server } from 'node:http';
import { type AddressInfo } from 'node:net';

import { Err, Ok, type Result } from 'ts-results';

import { type Lifecycle } from '../lifecycle';

/** Why a server could not listen. */
export interface ListenError {
  readonly address: string;
  readonly port: number;
  readonly detail: string;
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

/** Starts `server`, gives it to the life cycle, and returns the port that it listens on. */
export function listen(
  server: Server,
  address: string,
  port: number,
  lifecycle: Lifecycle,
): Promise<Result<number, ListenError>> {
  return new Promise((resolve) => {
    server.once('error', (error) => resolve(Err({ address, port, detail: error.message })));
    server.listen(port, address, () => {
      lifecycle.own(`server on port ${port}`, () => closeServer(server));
      resolve(Ok((server.address() as AddressInfo).port));
    });
  });
}
