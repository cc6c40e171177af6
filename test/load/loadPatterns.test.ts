import {
  COURSES,
  FleetModel,
  type ModelReport,
  type ModelTrouble,
  ROUNDS,
} from '../../standins/fleet';

type Deployment = typeof COURSES;

const SECONDS = 9;

async function play(
  deployment: Deployment,
  troubles: readonly ModelTrouble[],
  policy: 'product' | 'naive',
): Promise<ModelReport> {
  const seed = Number(process.env.SEED ?? 1);
  return new FleetModel({ ...deployment, seed, troubles, seconds: SECONDS, policy }).run();
}

async function compare(deployment: Deployment, troubles: readonly ModelTrouble[]) {
  return {
    product: await play(deployment, troubles, 'product'),
    naive: await play(deployment, troubles, 'naive'),
  };
}

function shareInTime(report: ModelReport, kind: string): number {
  const { asked, inTime } = report.kinds[kind]!;
  return inTime / asked;
}

function unserved(report: ModelReport): number {
  return Object.values(report.kinds).reduce((sum, kind) => sum + kind.unserved, 0);
}

function isServedAQuarterAsOftenAsAll(report: ModelReport): boolean {
  const kinds = Object.values(report.kinds);
  const total = kinds.reduce((sum, { asked }) => sum + asked, 0);
  const served = (total - unserved(report)) / total;
  return kinds.every((kind) => (kind.asked - kind.unserved) / kind.asked >= served / 4);
}

const BURST: readonly ModelTrouble[] = [{ kind: 'burst', at: 2, until: 7, factor: 1.7 }];

// Each test replays one load with the product's own decisions on modelled targets, and the same load
// with the naive choice (the better of two random targets by own calls). SEED=n repeats another run.
describe('the decisions under load', () => {
  // Load pattern: a third of the targets seven times slower for half a second at a time, calm.
  it('serves a calm day of small targets in time', async () => {
    const { product, naive } = await compare(COURSES, []);
    expect(product.inTime).toBeGreaterThan(naive.inTime);
    expect(unserved(product)).toBeLessThan(unserved(naive));
    // Hosts see each other's calls: where there is room, next to none waits at a target.
    expect(product.queued).toBeLessThan(naive.queued / 4);
  }, 60_000);

  it('serves a calm day of large targets in time', async () => {
    const { product, naive } = await compare(ROUNDS, []);
    // The objective for days without trouble, for calls that may be repeated.
    expect(shareInTime(product, 'pit-lookup')).toBeGreaterThan(0.95);
    expect(shareInTime(product, 'flood-watch')).toBeGreaterThan(0.95);
    expect(product.worstWindow).toBeGreaterThan(naive.worstWindow);
  }, 60_000);

  // Load pattern: 1.7 times the calls for five seconds, where targets slow down when full.
  it('keeps the most urgent calls in time through a burst, and starves no kind', async () => {
    const { product, naive } = await compare(COURSES, BURST);
    expect(product.worstWindow).toBeGreaterThan(naive.worstWindow);
    expect(product.turnedAway).toBeLessThan(naive.turnedAway);
    expect(shareInTime(product, 'trip-pay')).toBeGreaterThan(shareInTime(product, 'calendar-read'));
    expect(isServedAQuarterAsOftenAsAll(product)).toBe(true);
  }, 60_000);

  // Load pattern: a burst beyond any capacity, whose refused callers return at once.
  it('serves more in time than a queue would when callers do not wait as told', async () => {
    const { product, naive } = await compare(COURSES, [
      { kind: 'burst', at: 2, until: 7, factor: 2.5 },
      { kind: 'impatient', at: 2, until: 7 },
    ]);
    expect(product.inTime).toBeGreaterThan(naive.inTime);
    expect(isServedAQuarterAsOftenAsAll(product)).toBe(true);
  }, 60_000);

  // Load pattern: a third of the targets five times slower for seconds.
  it('moves calls away from targets that turned slow', async () => {
    const { product, naive } = await compare(COURSES, [
      { kind: 'slow', at: 2, until: 7, share: 0.3, factor: 5 },
    ]);
    expect(product.worstWindow).toBeGreaterThan(naive.worstWindow);
    expect(product.inTime).toBeGreaterThan(naive.inTime);
  }, 60_000);

  // Load pattern: targets that refuse half of their calls at once look emptier than all others.
  it.each(['failed', 'refused'] as const)(
    'is not drawn to targets that end calls as %s',
    async (how) => {
      const { product, naive } = await compare(ROUNDS, [
        { kind: 'grey', at: 2, until: 7, share: 0.15, how },
      ]);
      expect(product.inTime).toBeGreaterThan(naive.inTime);
      // A target that is drawn to would add its failures as repeats.
      const asked = Object.values(product.kinds).reduce((sum, kind) => sum + kind.asked, 0);
      expect(product.sends / asked).toBeLessThan(1.2);
    },
    60_000,
  );
});
