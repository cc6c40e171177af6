import { Invariants, PriorityRanks, ServicePool } from '../../src/routing';
import { ManualClock, SeededRandom } from '../../src/runtime';
import { parseSheet } from '../../src/sheet';
import { sheetText } from '../../standins';

const SHEET = parseSheet(
  sheetText({
    version: 1,
    zones: ['zone-1'],
    hosts: [{ id: 'h', zone: 'zone-1', callerPort: 1, relayPort: 2, peerPort: 3, operatorPort: 4 }],
    services: [{ name: 's', targets: [{ id: 't', zone: 'zone-1', port: 5, slots: 1 }] }],
  }),
).unwrap();

function traits(callId: string) {
  return {
    callId,
    service: 's',
    class: 'standard',
    idempotent: true,
    deadline: 10_000,
    suspect: null,
    avoid: new Set<string>(),
  };
}

// Guards against more calls at a target than it has slots. A target runs a cancelled call until it
// sees the closed connection; with the slot freed at once, targets ran 7 to 11 calls on 6 slots.
test('the slot of a cancelled call that was sent stays in use for a short time', async () => {
  const clock = new ManualClock();
  const pool = new ServicePool({
    clock,
    random: new SeededRandom(1),
    invariants: new Invariants(),
    viewIsCurrent: () => true,
    ranks: () => new PriorityRanks(SHEET),
  });
  const target = SHEET.targets.get('t')!;
  pool.setTargets([{ target, usableFrom: 0, inherited: null, inService: true }]);
  const first = (await pool.acquire(traits('c-1'))).unwrap();
  expect(first.maySend().ok).toBe(true);
  first.finish({ kind: 'cancelled' });
  let granted = false;
  const second = pool.acquire(traits('c-2')).then((slot) => {
    granted = slot.ok;
  });
  clock.advanceBy(15);
  await Promise.resolve();
  expect(granted).toBe(false);
  clock.advanceBy(10);
  await second;
  expect(granted).toBe(true);
});
