import { once } from 'node:events';
import { type AddressInfo, connect, createServer } from 'node:net';

import { readInPortions } from '../../src/delivery/readInPortions';

const SIZE = 1_000_000;

// Guards against a parser that is given 64 KB of a bad head at once, and against bytes that are lost.
it('a socket that is read in portions returns all bytes, few at a time', async () => {
  const sent = Buffer.from(Array.from({ length: SIZE }, (_, index) => index % 251));
  const server = createServer((socket) => socket.end(sent)).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  readInPortions(socket);
  const chunks: Buffer[] = [];
  socket.on('readable', () => {
    for (let chunk = socket.read(); chunk !== null; chunk = socket.read())
      chunks.push(chunk as Buffer);
  });
  await once(socket, 'end');
  expect(Buffer.concat(chunks).equals(sent)).toBe(true);
  expect(Math.max(...chunks.map((chunk) => chunk.length))).toBeLessThanOrEqual(4096);
  server.close();
});
