import { type TargetTruth } from '../../standins';

import { judge } from './judge';

function truth(target: string, runs: TargetTruth['runs']): TargetTruth {
  return { target, highestInFlight: 1, coldOverruns: 0, refused: 0, runs };
}

// A judge that misses a broken promise would let a fault of the gateways pass every measurement.
describe('judge', () => {
  test('finds doubled, lost and falsely refused calls across targets', () => {
    const judgement = judge(
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
    expect(judgement).toMatchObject({ doubled: 1, lost: 1, falseNotRun: 1 });
  });
});
