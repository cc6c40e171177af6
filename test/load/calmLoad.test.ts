import { playCalm } from './calmScenario';

const SEED = Number(process.env.SEED ?? 1);
// Share of late calls under normal load, part D of docs/design/tenants-and-load.md.
const MAX_LATE = 0.02;

// Guards against calls that go to targets of which their host knows nothing, of which a quarter is slow, when
// no used target is idle.
test(`few calls are late under normal load in a large zone (seed ${SEED})`, async () => {
  const report = await playCalm({ hostsPerZone: 25, slots: 2, seed: SEED, seconds: 4 });
  if (process.env.PRINT_CALM) console.log(JSON.stringify(report));
  expect(report.late).toBeLessThan(MAX_LATE);
  expect(report.unserved).toBe(0);
}, 240_000);
