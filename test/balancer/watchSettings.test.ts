import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { watchSettings } from '../../src/balancer/watchSettings';
import { ManualClock } from '../../src/runtime';

// Guards against settings that are never read, since an unexpected error occurred when they had changed.
test('settings that could not be applied are applied at the next interval', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const path = join(folder, 'settings');
  writeFileSync(path, 'a=1\n');
  const clock = new ManualClock();
  let calls = 0;
  const stop = watchSettings(path, 100, clock, () => {
    calls += 1;
    if (calls === 1) throw new Error('injected');
    return true;
  });
  writeFileSync(path, 'a=22\n');
  expect(() => clock.advanceBy(100)).toThrow('injected');
  clock.advanceBy(300);
  stop();
  rmSync(folder, { recursive: true });
  expect(calls).toBe(2);
});
