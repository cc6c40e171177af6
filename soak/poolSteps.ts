import * as fc from 'fast-check';

import { type PoolStep } from './poolStep';
import { type SimulatedSheetParts } from './simulatedSheet';

const target = fc.nat({ max: 5 });

function faultStep(kind: 'straggle' | 'fail-fast' | 'drain' | 'cut' | 'restart' | 'move' | 'list') {
  return target.map((index): PoolStep => ({ kind, target: index }));
}

const pause: fc.Arbitrary<PoolStep> = fc.record({
  kind: fc.constant('pause' as const),
  ms: fc.integer({ min: 1, max: 3000 }),
});
const zone: fc.Arbitrary<PoolStep> = fc.record({
  kind: fc.constant('zone' as const),
  zone: fc.constantFrom(1, 2),
});
const arrival: fc.Arbitrary<PoolStep> = fc.record({
  kind: fc.constant('arrive' as const),
  count: fc.integer({ min: 1, max: 12 }),
  class: fc.constantFrom('standard', 'flood'),
});
const advance: fc.Arbitrary<PoolStep> = fc.record({
  kind: fc.constant('advance' as const),
  ms: fc.integer({ min: 1, max: 120 }),
});

/** Random steps of one pool: arrivals, faults, changes of owner, zones, host lists and pauses. */
export const POOL_STEPS: fc.Arbitrary<readonly PoolStep[]> = fc.array(
  fc.oneof(
    { weight: 12, arbitrary: arrival },
    { weight: 10, arbitrary: advance },
    { weight: 1, arbitrary: fc.constant<PoolStep>({ kind: 'arrive-suspect' }) },
    { weight: 1, arbitrary: pause },
    { weight: 1, arbitrary: fc.constant<PoolStep>({ kind: 'view-ends' }) },
    { weight: 1, arbitrary: zone },
    ...(['straggle', 'fail-fast', 'drain', 'cut', 'restart', 'move', 'list'] as const).map(
      (kind) => ({ weight: 1, arbitrary: faultStep(kind) }),
    ),
  ),
  { minLength: 20, maxLength: 120 },
);

/** Random pools, from one target with three slots to six targets. */
export const POOL_PARTS: fc.Arbitrary<SimulatedSheetParts> = fc.record({
  targets: fc.integer({ min: 1, max: 6 }),
  slots: fc.constantFrom(1, 3, 6),
  coldLimit: fc.constant(1),
  coldMs: fc.constantFrom(0, 200),
  rain: fc.boolean(),
});
