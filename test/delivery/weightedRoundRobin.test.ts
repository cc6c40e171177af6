import { WeightedRoundRobin } from '../../src/delivery/weightedRoundRobin';
import { type Route } from '../../src/catalog';
import { SeededRandom } from '../../src/runtime';

function route(weights: readonly number[]): Route {
  const base = {
    name: 'r',
    hostName: 'calls.example',
    prefix: '/',
    isIdempotent: true,
    isPublic: false,
  };
  const limits = { timeLimitMs: 1000, latencyObjectiveMs: 300, priority: 0, mostAttempts: 2 };
  const parts = weights.map((weight, index) => ({ service: `s-${index}`, weight }));
  return { ...base, ...limits, parts };
}

describe('the weighted round-robin', () => {
  // Guards against calls to a service whose weight a newer configuration set to 0.
  it.each([1, 2, 3, 4, 5])('sends nothing to a part that lost its weight, seed %d', (seed) => {
    const random = new SeededRandom(seed);
    const roundRobin = new WeightedRoundRobin(random);
    for (let round = 0; round < 50; round += 1) {
      const weights = [random.integer(4), random.integer(4), random.integer(4)];
      const calls = random.integer(20);
      for (let call = 0; call < calls; call += 1) {
        const service = roundRobin.next(route(weights));
        const chosen = service === null ? null : weights[Number(service.slice(2))]!;
        if (chosen === null) expect(weights).toEqual([0, 0, 0]);
        else expect(chosen).toBeGreaterThan(0);
      }
    }
  });
});
