import { type Server } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

/** Binds a server to `IP:port`; the error is the message of the operating system. */
export function listenAt(server: Server, address: string): Promise<Result<void, string>> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve) => {
    const onError = (error: Error) => resolve(Err(error.message));
    server.once('error', onError);
    server.listen({ host, port, backlog: 1024 }, () => {
      server.off('error', onError);
      resolve(Ok(undefined));
    });
  });
}
