import { type TargetTruth } from '../../standins';

import { checkOutcomes } from './checkOutcomes';

function truth(target: string, runs: TargetTruth['runs']): TargetTruth {
  return { target, highestInFlight: 1, coldOverruns: 0, refused: 0, runs };
}

// If the check misses a violated guarantee, a fault of the gateways passes every measurement.
describe('checkOutcomes', () => {
  test('counts calls that ran twice, were lost or were wrongly reported as not run', () => {
    const check = checkOutcomes(
      [
        ['once', 'answered', 'update'],
        ['twice', 'unknown', 'update'],
        ['hedged', 'answered', 'update'],
        ['never', 'answered', 'update'],
        ['refused', 'not-run', 'update'],
        ['truly-refused', 'not-run', 'update'],
      ],
      [
        truth('t-1', [
          ['once', 'done', 0],
          ['twice', 'done', 0],
          ['hedged', 'done', 0],
          ['refused', 'cancelled', 0],
        ]),
        truth('t-2', [
          ['twice', 'done', 0],
          ['hedged', 'done', 0],
          ['never', 'cancelled', 0],
        ]),
      ],
      (key) => key === 'hedged',
    );
    expect(check).toMatchObject({ doubled: 1, lost: 1, falseNotRun: 1 });
  });
});
