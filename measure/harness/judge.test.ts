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
        ['once', 'answered'],
        ['twice', 'unknown'],
        ['hedged', 'answered'],
        ['never', 'answered'],
        ['refused', 'not-run'],
        ['truly-refused', 'not-run'],
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
