import { createServer, type Server } from 'node:http';

/** Answers readiness at one path: 200 while `isReady`, else 503. */
export function createReadinessServer(path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    const answer = isReady() ? 200 : 503;
    const status = request.url === path ? answer : 404;
    response.writeHead(status, { 'content-length': 0 });
    response.end();
  });
}
