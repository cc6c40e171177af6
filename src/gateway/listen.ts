import { type Server } from 'node:http';
import { type AddressInfo } from 'node:net';

import { Err, Ok, type Result } from 'ts-results';

import { type Lifecycle } from '../lifecycle';

import { openPort, type OpenPortParts } from './openPort';
import { UnusedConnections } from './unusedConnections';

/** Why a server could not listen. */
export interface ListenError {
  readonly address: string;
  readonly port: number;
  readonly detail: string;
}

const IDLE_CLOSE_INTERVAL_MS = 50;

function listenOnce(
  server: Server,
  address: string,
  port: number,
): Promise<Result<number, ListenError>> {
  return new Promise((resolve) => {
    let settle: (result: Result<number, ListenError>) => void = resolve;
    const onListening = () => settle(Ok((server.address() as AddressInfo).port));
    const onError = (error: Error) => settle(Err({ address, port, detail: error.message }));
    settle = (result) => {
      server.off('listening', onListening);
      server.off('error', onError);
      resolve(result);
    };
    server.once('listening', onListening);
    server.once('error', onError);
    server.listen(port, address);
  });
}

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

/**
 * Starts `server`, registers it with the life cycle and returns the port that it listens on. With
 * `wait`, a port that another process holds is awaited.
 */
export async function listen(
  server: Server,
  address: string,
  port: number,
  lifecycle: Lifecycle,
  wait?: OpenPortParts,
): Promise<Result<number, ListenError>> {
  const unusedConnections = new UnusedConnections(server);
  const open = () => listenOnce(server, address, port);
  const opened = await (wait === undefined ? open() : openPort(wait, String(port), open));
  if (opened.ok)
    lifecycle.own(`server on port ${port}`, () => closeServer(server, unusedConnections));
  return opened;
}
