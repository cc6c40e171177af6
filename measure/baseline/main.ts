import { createServer, type IncomingHttpHeaders } from 'node:http';
import { type AddressInfo } from 'node:net';

import { Pool } from 'undici';

// Hop-by-hop headers that undici does not accept.
const DROPPED = new Set(['connection', 'keep-alive', 'transfer-encoding']);

function passedOn(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !DROPPED.has(name)));
}

/** Bare pass-through of node:http and undici, the baseline of added-latency. */
function main(targetPort: number): void {
  const pool = new Pool(`http://127.0.0.1:${targetPort}`);
  const server = createServer((request, response) => {
    const { url = '/', method = 'GET' } = request;
    pool
      .stream(
        {
          // The first segment names the service, as at a gateway.
          path: url.slice(url.indexOf('/', 1)),
          method,
          headers: passedOn(request.headers),
          body: method === 'GET' ? null : request,
        },
        ({ statusCode, headers }) =>
          response.writeHead(statusCode, passedOn(headers as IncomingHttpHeaders)),
      )
      .catch(() => response.destroy());
  });
  server.listen(0, '127.0.0.1', () => {
    process.stdout.write(`{"port":${(server.address() as AddressInfo).port}}\n`);
  });
  process.once('SIGTERM', () => {
    server.close();
    server.closeAllConnections();
    void pool.destroy();
  });
}

main(Number(process.argv[2]));
