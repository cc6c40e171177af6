import { createServer, type Server } from 'node:http';

/** Serves readiness at `path`: 200 while `isReady` returns true, else 503. */
export function createReadinessServer(path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    const readinessStatus = isReady() ? 200 : 503;
    const status = request.url === path ? readinessStatus : 404;
    response.writeHead(status, { 'content-length': 0 });
    response.end();
  });
}
