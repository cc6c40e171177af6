import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';

const ROOT = join(__dirname, '..', '..');

// Names of the platform's protocol, for which the product has names of its own.
const PLATFORM_WORDS = [
  ...['upstream-load', 'upstream-signature', 'upstream-instance', 'expected-instance'],
  ...['warmup', 'not-executed', 'kv-range', 'kv-watch', 'kv-key', 'route_type', 'target_latency'],
  ...['weighted_backends', 'heartbeat_ms', 'frontend', 'control_plane', 'op/config', 'op/evacuate'],
  ...['deadline-ms', 'non_idempotent', 'LIMPETKNOT_NODE_FILE'],
];

function sources(folder: string): readonly string[] {
  return readdirSync(folder).flatMap((name) => {
    const path = join(folder, name);
    if (statSync(path).isDirectory()) return sources(path);
    return name.endsWith('.ts') && !name.endsWith('.test.ts') ? [path] : [];
  });
}

// Guards against names of the platform outside the adapter that translates them.
test('names of the platform occur in its adapter only', () => {
  for (const path of sources(join(ROOT, 'src'))) {
    const text = readFileSync(path, 'utf8');
    const found = PLATFORM_WORDS.filter((word) => text.includes(word));
    expect({ path, found }).toEqual({ path, found: [] });
  }
});

// Guards against logic that grows in the adapter.
test('the adapter is small', () => {
  const lines = sources(join(ROOT, 'platform'))
    .map((path) => readFileSync(path, 'utf8').split('\n').length)
    .reduce((sum, count) => sum + count, 0);
  expect(lines).toBeLessThan(1000);
});
