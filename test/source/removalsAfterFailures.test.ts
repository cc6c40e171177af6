import { type CatalogFact, Ledger } from '../../src/catalog';
import { ManualClock, SeededRandom } from '../../src/runtime';
import { AnswerHistory, CatalogReader, shortestExpiringOutage } from '../../src/source';
import { SimulatedSource } from '../exchange/simulatedSource';

const RENEWAL_MS = 1500;
// A removed target gets no more calls by then, at the deployments with the shortest and the longest time.
const REMOVAL_BOUNDS_MS = [2000, 2500, 3000] as const;
// Targets whose entries expired publish them again within this time after an outage.
const REPUBLICATION_MS = 2000;
const STEP_MS = 10;

function target(id: string): CatalogFact {
  const times = { coldUntil: 0, startedAt: 1 };
  const base = { service: 's', address: '10.1.0.1:80', zone: 'a', slots: 6, state: 'ready' };
  return { kind: 'target', target: { id, ...base, ...times } } as CatalogFact;
}

class ReadingHost {
  readonly clock = new ManualClock();

  readonly source = new SimulatedSource(this.clock);

  readonly ledger = new Ledger();

  readonly answers = new AnswerHistory(shortestExpiringOutage(RENEWAL_MS));

  readonly reader: CatalogReader;

  mustRead = true;

  constructor(removalApplyMs: number) {
    const { clock, source, ledger, answers } = this;
    for (const id of ['i-1', 'i-2', 'i-3']) source.publish(id, target(id));
    this.reader = new CatalogReader({
      ...{ clock, ledger, answers, removalApplyMs, random: new SeededRandom(1) },
      source: source.connect('host-1'),
      events: { emit: () => {} },
      mustRead: () => this.mustRead,
      onChanges: () => {},
      onStateChange: () => {},
    });
    void this.reader.run();
  }

  async advance(milliseconds: number): Promise<void> {
    const end = this.clock.now() + milliseconds;
    while (this.clock.now() < end) {
      this.clock.advanceTo(Math.min(end, this.clock.now() + STEP_MS));
      await new Promise(setImmediate);
    }
  }

  async untilReading(): Promise<void> {
    while (this.reader.state() !== 'reading') await this.advance(STEP_MS);
  }

  has(id: string): boolean {
    return this.ledger.catalog().targets.has(id);
  }

  /** Time until the target is gone, in milliseconds, at most 5,000. */
  async timeUntilGone(id: string): Promise<number> {
    const startedAt = this.clock.now();
    while (this.has(id) && this.clock.now() < startedAt + 5000) await this.advance(STEP_MS);
    return this.clock.now() - startedAt;
  }
}

describe.each(REMOVAL_BOUNDS_MS)('a removal that applies within %d ms', (removalApplyMs) => {
  let host: ReadingHost;

  beforeEach(async () => {
    host = new ReadingHost(removalApplyMs);
    await host.advance(6000);
  });

  afterEach(() => host.reader.close());

  // Guards against calls to a target that is gone, since a closed connection is taken for an outage.
  it('is applied at once after waiting watches were cut', async () => {
    host.source.cutWatches();
    await host.advance(800);
    host.source.publish('i-1', null);
    expect(await host.timeUntilGone('i-1')).toBeLessThanOrEqual(500);
  });

  // Guards against the same with failures that are too short for an entry to expire.
  it('is applied at once after a short failure', async () => {
    host.source.modeOf = () => 'refuses';
    host.source.publish('i-3', target('i-3'));
    await host.advance(200);
    host.source.modeOf = () => 'answers';
    await host.untilReading();
    await host.advance(300);
    host.source.publish('i-1', null);
    expect(await host.timeUntilGone('i-1')).toBeLessThanOrEqual(500);
  });

  // Guards against a removal after an outage that is withheld for longer than its target serves.
  it('is applied in time when it happens right after an outage', async () => {
    host.source.modeOf = () => 'refuses';
    await host.advance(6000);
    host.source.modeOf = () => 'answers';
    await host.untilReading();
    host.source.publish('i-1', null);
    expect(await host.timeUntilGone('i-1')).toBeLessThanOrEqual(removalApplyMs);
  });

  // Guards against a host that refuses all calls after an outage in which the entries of running targets expired.
  it('is withheld when it may be an expiry, until targets have published again', async () => {
    host.source.modeOf = () => 'refuses';
    await host.advance(6000);
    for (const id of ['i-1', 'i-2']) host.source.publish(id, null);
    host.source.modeOf = () => 'answers';
    await host.untilReading();
    await host.advance(REPUBLICATION_MS);
    expect([host.has('i-1'), host.has('i-2')]).toEqual([true, true]);
    host.source.publish('i-1', target('i-1'));
    await host.advance(1000);
    expect([host.has('i-1'), host.has('i-2')]).toEqual([true, false]);
  });

  // Guards against the same where a whole read shows what is missing.
  it('is withheld when a whole read after an outage lacks the target', async () => {
    host.source.modeOf = () => 'refuses';
    await host.advance(6000);
    host.source.publish('i-2', null);
    host.source.forgetHistory();
    host.source.modeOf = () => 'answers';
    await host.untilReading();
    await host.advance(REPUBLICATION_MS);
    expect(host.has('i-2')).toBe(true);
    await host.advance(1000);
    expect(host.has('i-2')).toBe(false);
    expect(host.ledger.catalog().asOf).toBe(host.source.newestRevision());
  });

  // Guards against a host that begins to read during an outage and takes it for a short one.
  it('is withheld by a host that has read nothing before the outage', async () => {
    host.mustRead = false;
    await host.advance(5000);
    host.source.modeOf = () => 'refuses';
    host.mustRead = true;
    await host.advance(1000);
    host.source.publish('i-2', null);
    host.source.modeOf = () => 'answers';
    await host.untilReading();
    await host.advance(1500);
    expect(host.has('i-2')).toBe(true);
  });

  // Guards against a host that was refused alone and takes this for an outage of the source.
  it('is applied at once when another host was answered meanwhile', async () => {
    host.source.modeOf = () => 'refuses';
    for (let second = 0; second < 6; second += 1) {
      await host.advance(1000);
      host.answers.record(host.clock.now(), host.clock.now());
    }
    host.source.publish('i-1', null);
    host.source.modeOf = () => 'answers';
    await host.untilReading();
    expect(host.has('i-1')).toBe(false);
  });
});
