import {
  COURSES,
  FleetModel,
  type ModelReport,
  type ModelDisturbance,
  ORDERS,
  ROUNDS,
  SALES,
} from '../../standins/fleet';

type Deployment = typeof COURSES;

const SECONDS = 9;

async function runModel(
  deployment: Deployment,
  disturbances: readonly ModelDisturbance[],
  policy: 'product' | 'naive',
): Promise<ModelReport> {
  const seed = Number(process.env.SEED ?? 1);
  return new FleetModel({ ...deployment, seed, disturbances, seconds: SECONDS, policy }).run();
}

async function compare(deployment: Deployment, disturbances: readonly ModelDisturbance[]) {
  return {
    product: await runModel(deployment, disturbances, 'product'),
    naive: await runModel(deployment, disturbances, 'naive'),
  };
}

function shareInTime(report: ModelReport, kind: string): number {
  const { calls, inTime } = report.kinds[kind]!;
  return inTime / calls;
}

function unserved(report: ModelReport): number {
  return Object.values(report.kinds).reduce((sum, kind) => sum + kind.unserved, 0);
}

function isServedAQuarterAsOftenAsAll(report: ModelReport): boolean {
  const kinds = Object.values(report.kinds);
  const total = kinds.reduce((sum, { calls }) => sum + calls, 0);
  const served = (total - unserved(report)) / total;
  return kinds.every((kind) => (kind.calls - kind.unserved) / kind.calls >= served / 4);
}

const LIMITED = { kind: 'limited', at: 1, until: 8, service: 'round-sheets' } as const;

const BURST: readonly ModelDisturbance[] = [{ kind: 'burst', at: 2, until: 7, factor: 1.7 }];

// Each test simulates one load with the product's decisions on modelled targets, and the same load
// with the naive policy (the better of two random targets by own calls). SEED=n sets the seed.
describe('the decisions under load', () => {
  // Load pattern: no disturbance; a third of the targets seven times slower for half a second each.
  it('serves calls to small targets in time without disturbances', async () => {
    const { product, naive } = await compare(COURSES, []);
    expect(product.inTimeShare).toBeGreaterThan(naive.inTimeShare);
    expect(unserved(product)).toBeLessThan(unserved(naive));
    // Hosts know each other's in-flight counts, so few calls queue at a target while slots are free.
    expect(product.queued).toBeLessThan(naive.queued / 4);
  }, 60_000);

  it('serves calls to large targets in time without disturbances', async () => {
    const { product, naive } = await compare(ROUNDS, []);
    // Service-level objective for idempotent calls without disturbances.
    expect(shareInTime(product, 'pit-lookup')).toBeGreaterThan(0.95);
    expect(shareInTime(product, 'flood-watch')).toBeGreaterThan(0.95);
    expect(product.worstWindowShare).toBeGreaterThan(naive.worstWindowShare);
  }, 60_000);

  // Load pattern: 1.7 times the calls for five seconds, with targets that slow down when full.
  it('keeps the most urgent calls in time during a burst without starving a kind of call', async () => {
    const { product, naive } = await compare(COURSES, BURST);
    expect(product.worstWindowShare).toBeGreaterThan(naive.worstWindowShare);
    expect(product.rejected).toBeLessThan(naive.rejected);
    expect(shareInTime(product, 'trip-pay')).toBeGreaterThan(shareInTime(product, 'calendar-read'));
    expect(isServedAQuarterAsOftenAsAll(product)).toBe(true);
  }, 60_000);

  // Load pattern: 2.4 times the calls that can wait, at the targets of calls with a short objective.
  // Guards against calls with slack that take the slots of the urgent ones. The naive policy serves more
  // of them in time, in the queues of targets where they delay the urgent calls.
  it('keeps urgent calls in time during a burst of calls that can wait', async () => {
    const { product, naive } = await compare(SALES, [
      { kind: 'burst', at: 2, until: 5, factor: 2.4, only: 'upload' },
    ]);
    for (const kind of ['lookup', 'sale'])
      expect(shareInTime(product, kind)).toBeGreaterThan(shareInTime(naive, kind));
    expect(isServedAQuarterAsOftenAsAll(product)).toBe(true);
  }, 60_000);

  // Load pattern: tenants of different sizes and priorities send 2.5 times as much as fits. Guards against
  // slots that go to tenants in proportion to what they send, and against a priority that starves.
  it('gives each tenant a quarter of what the mean tenant gets', async () => {
    const burst = { kind: 'burst', at: 1, until: SECONDS, factor: 2.5 } as const;
    const product = await runModel(ORDERS, [burst], 'product');
    const served = Object.values(product.kinds).map(
      ({ calls, unserved: missed }) => calls - missed,
    );
    const mean = served.reduce((sum, each) => sum + each, 0) / served.length;
    expect(Math.min(...served)).toBeGreaterThan(mean / 4);
    expect(shareInTime(product, 'small-order')).toBeGreaterThan(
      shareInTime(product, 'large-order'),
    );
  }, 60_000);

  // Load pattern: a burst beyond capacity whose refused callers retry at once.
  it('serves more calls in time than a queue would when callers ignore the retry delay', async () => {
    const { product, naive } = await compare(COURSES, [
      { kind: 'burst', at: 2, until: 7, factor: 2.5 },
      { kind: 'impatient', at: 2, until: 7 },
    ]);
    expect(product.inTimeShare).toBeGreaterThan(naive.inTimeShare);
    expect(isServedAQuarterAsOftenAsAll(product)).toBe(true);
  }, 60_000);

  // Load pattern: a third of the targets five times slower for five seconds.
  it('moves calls away from targets that become slow', async () => {
    const { product, naive } = await compare(COURSES, [
      { kind: 'slow', at: 2, until: 7, share: 0.3, factor: 5 },
    ]);
    expect(product.worstWindowShare).toBeGreaterThan(naive.worstWindowShare);
    expect(product.inTimeShare).toBeGreaterThan(naive.inTimeShare);
  }, 60_000);

  // Load pattern: targets that end half of their calls at once report less load than all others.
  it.each(['failed', 'refused'] as const)(
    'does not prefer targets in gray failure that end calls as %s',
    async (how) => {
      const { product, naive } = await compare(ROUNDS, [
        { kind: 'grey', at: 2, until: 7, share: 0.15, how },
      ]);
      expect(product.inTimeShare).toBeGreaterThan(naive.inTimeShare);
      // Each failure of a preferred target would add a retry.
      const calls = Object.values(product.kinds).reduce((sum, kind) => sum + kind.calls, 0);
      expect(product.attempts / calls).toBeLessThan(1.2);
    },
    60_000,
  );

  // Load pattern: 70% of the targets of a service state how many calls per second they take from all
  // hosts. Guards against hosts that keep sending what they sent before.
  it.each([0.4, 2.4, 5.1])(
    'keeps the limits that targets state, %d calls per second each',
    async (perSecond) => {
      const { product, naive } = await compare(ROUNDS, [{ ...LIMITED, share: 0.7, perSecond }]);
      expect(naive.maxCallsOverLimit).toBeGreaterThan(5);
      expect(product.maxCallsOverLimit).toBeLessThanOrEqual(5);
    },
    60_000,
  );

  // Load pattern: all targets of a service limit their calls at once, during a burst. Guards against
  // limits that are exceeded when nothing else is left, and against kinds of calls that starve.
  it('keeps the limits of all targets of a service, and serves the urgent calls first', async () => {
    const { product } = await compare(ROUNDS, [{ ...LIMITED, share: 1, perSecond: 5.1 }, ...BURST]);
    expect(product.maxCallsOverLimit).toBeLessThanOrEqual(5);
    const servedShare = (kind: string) => {
      const { calls, unserved: missed } = product.kinds[kind]!;
      return (calls - missed) / calls;
    };
    expect(servedShare('flood-watch')).toBeGreaterThan(servedShare('pit-lookup'));
    expect(isServedAQuarterAsOftenAsAll(product)).toBe(true);
  }, 60_000);
});
