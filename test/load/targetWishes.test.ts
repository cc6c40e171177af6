import { playWishes, SLOTS } from './wishScenario';

const SIZES = (process.env.SIZES ?? '6,17').split(',').map(Number);
const SEEDS = (process.env.SEED ?? '1').split(',').map(Number);
const RUNS = SIZES.flatMap((size) =>
  SEEDS.flatMap((seed) => [0.05, 0.3].map((lossRatio) => ({ size, seed, lossRatio }))),
);

describe('targets that leave or ask for no calls', () => {
  // Guards against hosts that go on sending to a target that leaves, or that has asked for no calls,
  // while they restart, lose messages of each other and have no store; and against a target that all
  // hosts come back to at the same moment.
  it.each(RUNS)(
    'get none: $size hosts, loss $lossRatio, seed $seed',
    async ({ size, seed, lossRatio }) => {
      const report = await playWishes({
        ...{ size, seed, load: 0.6, lossRatio, hasRestarts: true, isStoreAway: true },
        ...{ hasNotices: true, returnSeconds: [1, 2] },
      });
      if (process.env.PRINT_WISHES) console.log(JSON.stringify(report));
      expect(report.violations).toEqual([]);
      const { peakBefore, peakInFirstSecond } = report.someQuiet;
      expect(peakInFirstSecond).toBeLessThanOrEqual(Math.max(SLOTS, peakBefore));
      // They are not given up either.
      for (const { shares } of [report.someQuiet, report.allQuiet])
        expect(shares.at(-1)).toBeGreaterThan(0);
    },
    120_000,
  );
});
