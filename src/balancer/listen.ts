import { type Server } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

/**
 * Binds a server to `IP:port`; the error is the message of the operating system. After an error it can
 * be called again.
 */
export function listenAt(server: Server, address: string): Promise<Result<void, string>> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve) => {
    let settle: (result: Result<void, string>) => void = resolve;
    const onListening = () => settle(Ok(undefined));
    const onError = (error: Error) => settle(Err(error.message));
    settle = (result) => {
      server.off('listening', onListening);
      server.off('error', onError);
      resolve(result);
    };
    server.once('listening', onListening);
    server.once('error', onError);
    try {
      server.listen({ host, port, backlog: 1024 });
    } catch (error) {
      // A port that is out of range.
      onError(error as Error);
    }
  });
}
