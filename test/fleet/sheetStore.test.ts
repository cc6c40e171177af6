import { Err, Ok } from 'ts-results';

import {
  CONFIGURATION_EVENTS as EVENTS,
  ManualClock,
  SeededRandom,
  type Sheet,
  SheetStore,
  SilentSink,
} from '../../src';
import { type FetchSheetRequest, type SheetChunk, type SheetHandler } from '../../src/peer';

import { advance, recordedEvents, settle, sheetOf } from './configurationFakes';

/** Sheet stores on an in-memory transport; `damage` may corrupt the chunks sent. */
function network() {
  const clock = new ManualClock();
  const handlers = new Map<string, SheetHandler>();
  const requests: { readonly to: string; readonly request: FetchSheetRequest }[] = [];
  const sent: SheetChunk[] = [];
  const { events, numbers } = recordedEvents();
  const transfer = { bytes: 0, damage: (chunks: readonly SheetChunk[]) => chunks };
  const metrics = new SilentSink();
  jest.spyOn(metrics, 'increment').mockImplementation((...call: unknown[]) => {
    transfer.bytes += Number(call[1]);
  });
  const store = (hostId: string, ...sheets: readonly Sheet[]) => {
    const made = new SheetStore({
      clock,
      random: new SeededRandom(5),
      events,
      metrics,
      transport: {
        handleFetchSheet: (handler) => handlers.set(hostId, handler),
        fetchSheet: async (to, request) => {
          requests.push({ to, request });
          const handler = handlers.get(to);
          if (handler === undefined) return Err({ kind: 'unreachable', detail: 'no such host' });
          const chunks: SheetChunk[] = [];
          for await (const chunk of handler(request)) chunks.push(chunk);
          sent.push(...chunks);
          return Ok(transfer.damage(chunks));
        },
      },
    });
    for (const sheet of sheets) made.add(sheet);
    return made;
  };
  return { clock, store, requests, sent, numbers, transfer };
}

// Guards against sending a whole sheet when only a few rows changed.
test('a delta is sent when the sender has the base, else the whole sheet', async () => {
  const { store, sent } = network();
  const [base, wanted] = [sheetOf(1, 300), sheetOf(2, 301)];
  store('both', base, wanted);
  store('newest', wanted);
  const viaDelta = await store('a', base).obtain(wanted.fingerprint, ['both']);
  const viaWhole = await store('b', base).obtain(wanted.fingerprint, ['newest']);
  expect([viaDelta.unwrap().text, viaWhole.unwrap().text]).toEqual([wanted.text, wanted.text]);
  expect(sent.map((chunk) => chunk.delta)).toEqual([true, false]);
  expect(sent[0]!.data.length).toBeLessThan(sent[1]!.data.length / 3);
});

// Guards against a host that cannot obtain a sheet although some host has it.
test('hosts that are unreachable or lack the sheet are skipped', async () => {
  const { store, requests } = network();
  const wanted = sheetOf(2);
  store('empty');
  store('holder', wanted);
  const asking = store('asking');
  const hosts = ['away', 'empty', 'holder'];
  const found = await Promise.all([1, 2].map(() => asking.obtain(wanted.fingerprint, hosts)));
  expect(found.map((each) => each.unwrap().version)).toEqual([2, 2]);
  expect(new Set(requests.map(({ to }) => to)).size).toBe(requests.length);
  const missing = await asking.obtain('unknown', ['empty']);
  expect(missing.err && missing.val.kind).toBe('not-found');
  expect(asking.get(wanted.fingerprint)?.version).toBe(2);
});

// Guards against damaged data that is accepted or crashes the fetching host.
test('a damaged delta is replaced by the whole sheet, a damaged sheet is refused', async () => {
  const { store, numbers, requests, transfer } = network();
  const [base, wanted] = [sheetOf(1, 300), sheetOf(2, 301)];
  store('holder', base, wanted);
  const cut = (chunks: readonly SheetChunk[]) =>
    chunks.map((chunk) => ({ ...chunk, data: chunk.data.subarray(0, 40) }));
  transfer.damage = (chunks) => (chunks[0]?.delta ? cut(chunks) : chunks);
  expect((await store('a', base).obtain(wanted.fingerprint, ['holder'])).ok).toBe(true);
  expect(requests.map(({ request }) => request.baseFingerprint)).toEqual([base.fingerprint, '']);
  expect(numbers).toEqual([EVENTS.deltaUnusable.number]);
  transfer.damage = cut;
  const refused = await store('b').obtain(wanted.fingerprint, ['holder']);
  expect(refused.err && refused.val.kind).toBe('invalid');
});

// Guards against memory that grows with each new sheet.
test('the last eight sheets are kept', () => {
  const sheets = Array.from({ length: 10 }, (_unused, index) => sheetOf(index + 1));
  const kept = network().store('a', ...sheets);
  const versions = sheets.map(({ fingerprint }) => kept.get(fingerprint)?.version ?? 0);
  expect(versions).toEqual([0, 0, 3, 4, 5, 6, 7, 8, 9, 10]);
});

// Guards against a starting fleet that saturates the control traffic of one sender.
test('the sender limits its rate over all requests', async () => {
  const { clock, store, transfer } = network();
  const wanted = sheetOf(1, 3000);
  store('holder', wanted);
  const fetchOne = () => store('asking').obtain(wanted.fingerprint, ['holder']);
  // The first fetch compresses the sheet, which takes real, not simulated, time.
  await fetchOne();
  await advance(clock, 10_000);
  const size = transfer.bytes;
  const start = clock.now();
  const fetches = Array.from({ length: 6 }, fetchOne);
  await settle();
  expect(transfer.bytes - size).toBeGreaterThan(0);
  while (transfer.bytes < 7 * size) {
    const allowed = 64 * (clock.now() - start + 500);
    expect(transfer.bytes - size).toBeLessThanOrEqual(allowed);
    await advance(clock, 50, 50);
  }
  await Promise.all(fetches);
  expect(clock.now() - start).toBeGreaterThan((6 * size) / 64 - 600);
});
