import { createServer, type Server } from 'node:http';

/** Answers readiness at one path: 200 while `isReady`, else 503. */
export function createReadinessServer(path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    const status = request.url === path ? (isReady() ? 200 : 503) : 404;
    response.writeHead(status, { 'content-length': 0 });
    response.end();
  });
}
