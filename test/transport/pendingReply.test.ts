import { gzipSync } from 'node:zlib';

import { type Result } from 'ts-results';

import { ManualClock } from '../../src/runtime';
import { type JsonReply, type TransportError } from '../../src/transport';
import { PendingReply } from '../../src/transport/pendingReply';

// Guards against a whole reply that is reported as a timeout, since a busy host takes long to decompress it.
test('a whole reply does not time out while it is decompressed', async () => {
  const clock = new ManualClock();
  const result = await new Promise<Result<JsonReply, TransportError>>((resolve) => {
    const reply = new PendingReply(clock, 200, resolve, () => {});
    reply.begin(200, { 'content-encoding': 'gzip' });
    reply.append(gzipSync('[1]'));
    reply.complete();
    clock.advanceBy(10_000);
  });
  expect(result.ok && result.val.body).toEqual([1]);
});
