import { createServer } from 'node:net';

// Below the ephemeral port range of Linux: an outgoing connection could take a port from that range
// between this check and its use.
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;

// Concurrent processes start at different ports.
let nextOffset = (process.pid * 97) % PORT_COUNT;

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Returns a free loopback port; a process gets no port twice before all have been tried. */
export async function freePort(): Promise<number> {
  for (let attempt = 0; attempt < PORT_COUNT; attempt += 1) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await canListen(port)) return port;
  }
  throw new Error('no free loopback port');
}
