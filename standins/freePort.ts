import { createServer } from 'node:net';

// Below the range of ports that Linux gives to outgoing connections: a port from that range can
// be taken by any connection between this check and its use.
const FIRST_PORT = 10_000;
const PORTS = 22_000;

// Processes that run at the same time start at different places.
let next = (process.pid * 97) % PORTS;

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** A loopback port that is free at the moment; no port is returned twice by one process. */
export async function freePort(): Promise<number> {
  for (let tries = 0; tries < PORTS; tries += 1) {
    const port = FIRST_PORT + next;
    next = (next + 1) % PORTS;
    if (await canListen(port)) return port;
  }
  throw new Error('no free loopback port');
}
