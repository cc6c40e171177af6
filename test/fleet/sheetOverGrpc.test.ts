import { SeededRandom, SheetStore, SilentSink, SystemClock } from '../../src';
import { GrpcTransport } from '../../src/peer';

import { recordedEvents, sheetOf } from './configurationFakes';

function makeHost(hostId: string) {
  const clock = new SystemClock();
  const random = new SeededRandom(1);
  const { events } = recordedEvents();
  const metrics = new SilentSink();
  const secret = 'a-secret-for-tests-only';
  const parts = { clock, random, events, metrics };
  const transport = new GrpcTransport({ ...parts, hostId, incarnation: 'a', secret });
  return { transport, store: new SheetStore({ ...parts, transport }) };
}

// Guards against chunks that the transport reorders, truncates or drops.
test('a sheet and a delta reach another host over gRPC', async () => {
  const [holder, asking] = [makeHost('host-1'), makeHost('host-2')];
  try {
    const port = (await holder.transport.listen('127.0.0.1', 0)).unwrap();
    asking.transport.setPeers([{ hostId: 'host-1', address: `127.0.0.1:${port}` }]);
    const sheets = [sheetOf(1, 3000), sheetOf(2, 3001)];
    for (const sheet of sheets) {
      holder.store.add(sheet);
      const fetched = await asking.store.obtain(sheet.fingerprint, ['host-1']);
      expect(fetched.unwrap().text).toBe(sheet.text);
    }
    const missing = await asking.store.obtain('unknown', ['host-1']);
    expect(missing.err && missing.val.kind).toBe('not-found');
  } finally {
    asking.transport.close();
    holder.transport.close();
  }
});
