import { type Configuration, type Route, type Tenant } from '../../src/catalog';
import { PriorityRanks } from '../../src/delivery/priorityRanks';

const LIMITS = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function route(priority: number, isPublic = false): Route {
  return {
    ...{ name: `r${priority}`, hostName: 'h', prefix: '/', isIdempotent: true, timeLimitMs: 1000 },
    ...{ latencyObjectiveMs: 200, priority, mostAttempts: 2, isPublic },
    parts: [{ service: 's', weight: 1 }],
  };
}

function tenant(priority: number | null): Tenant {
  const name = `t${priority}`;
  return { name, keyDigests: [name], priority, callsPerSecond: 0, burst: 0 };
}

function ranksOf(routes: readonly Route[], tenants: readonly Tenant[] | null): PriorityRanks {
  const configuration: Configuration = {
    ...{ version: 1, services: [], limits: LIMITS },
    ...{ routes, tenants },
  };
  return new PriorityRanks(configuration);
}

function sortedBy(ranks: PriorityRanks, pairs: readonly (readonly [Tenant | null, Route])[]) {
  return pairs.map(([caller, of]) => ranks.rankOf({ route: of, tenant: caller, service: 's' }));
}

describe('ranks of calls', () => {
  const [first, second, third] = [route(0), route(1), route(2)];

  // Guards against other ranks than before where the configuration has no tenants.
  it('divide the priorities of a service evenly', () => {
    const ranks = ranksOf([first, second, third], null);
    expect(
      sortedBy(
        ranks,
        [first, second, third].map((of) => [null, of]),
      ),
    ).toEqual([0, 0.5, 1]);
    expect(sortedBy(ranksOf([second], null), [[null, second]])).toEqual([0]);
  });

  // Guards against a tenant that overtakes a more urgent one through its choice of a route.
  it('follow the priority of the tenant first, then that of the route', () => {
    const [urgent, patient] = [tenant(0), tenant(5)];
    const ranks = ranksOf([first, third], [patient, urgent]);
    const order = sortedBy(ranks, [
      [urgent, first],
      [urgent, third],
      [patient, first],
      [patient, third],
    ]);
    expect(order).toEqual([0, 1 / 3, 2 / 3, 1]);
  });

  // Guards against public calls and tenants without a priority that come before or behind all others.
  it('follow the priority of the route alone without one of the tenant', () => {
    const [urgent, plain, patient] = [tenant(0), tenant(null), tenant(9)];
    const open = route(2, true);
    const ranks = ranksOf([second, open], [urgent, plain, patient]);
    const order = sortedBy(ranks, [
      [urgent, second],
      [plain, second],
      [null, open],
      [patient, second],
    ]);
    expect(order).toEqual([0, 1 / 3, 2 / 3, 1]);
  });

  // Guards against a call that waits while a configuration without its priority comes into force, and
  // becomes the most urgent one or gets a rank above 1.
  it('stay in order for priorities that the configuration lacks', () => {
    const ranks = ranksOf([first, third], null);
    const order = sortedBy(
      ranks,
      [route(-1), second, route(7)].map((of) => [null, of]),
    );
    expect(order).toEqual([0, 1, 1]);
    expect(sortedBy(ranksOf([first], null), [[null, second]])).toEqual([1]);
    expect(sortedBy(ranksOf([], null), [[null, second]])).toEqual([0]);
  });
});
