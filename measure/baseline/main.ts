import { createServer, type IncomingHttpHeaders } from 'node:http';
import { type AddressInfo } from 'node:net';

import { Pool } from 'undici';

// Hop-by-hop headers that undici does not accept.
const HOP_BY_HOP_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding']);

function endToEndHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name)),
  );
}

/** Minimal reverse proxy of node:http and undici, the baseline of added-latency. */
function main(targetPort: number): void {
  const pool = new Pool(`http://127.0.0.1:${targetPort}`);
  const server = createServer((request, response) => {
    const { url = '/', method = 'GET' } = request;
    pool
      .stream(
        {
          // Strips the first path segment, which names the service, as a gateway does.
          path: url.slice(url.indexOf('/', 1)),
          method,
          headers: endToEndHeaders(request.headers),
          body: method === 'GET' ? null : request,
        },
        ({ statusCode, headers }) =>
          response.writeHead(statusCode, endToEndHeaders(headers as IncomingHttpHeaders)),
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
