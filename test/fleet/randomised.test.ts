import fc from 'fast-check';

import { SimFleet, simSheet } from './simFleet';

const HOSTS = 5;
const SEED = Number(process.env.SEED ?? Math.floor(Math.random() * 2 ** 31));
const RUNS = Number(process.env.RUNS ?? 25);

const host = fc.integer({ min: 1, max: HOSTS }).map((index) => `host-${index}`);
const zone = fc.integer({ min: 1, max: 3 }).map((index) => `zone-${index}`);

/** A fault or order injected into the fleet; the clock advances by `milliseconds` after it. */
const faultEvent = fc.record({
  kind: fc.constantFrom(
    'pause',
    'cut-in',
    'cut-out',
    'restart',
    'heal',
    'heal',
    'zone-out',
    'zone-back',
    'zone-out-at-two',
    'load-sheet',
  ),
  host,
  other: host,
  zone,
  milliseconds: fc.integer({ min: 10, max: 3000 }),
});

const run = fc.record({
  networkSeed: fc.integer({ min: 1, max: 1_000_000 }),
  dropPercent: fc.constantFrom(0, 0, 2, 10),
  longestDelay: fc.constantFrom(2, 10, 150),
  faultEvents: fc.array(faultEvent, { minLength: 1, maxLength: 15 }),
});

type FaultEvent = typeof faultEvent extends fc.Arbitrary<infer Value> ? Value : never;

class Scenario {
  private orders = 0;

  private version = 1;

  private restartedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly sim: SimFleet) {}

  apply(each: FaultEvent): void {
    const { network } = this.sim;
    const others = [...this.sim.hosts.keys()].filter((id) => id !== each.host);
    if (each.kind === 'pause') this.sim.process(each.host).pause();
    if (each.kind === 'cut-in') for (const id of others) network.cut(id, each.host);
    if (each.kind === 'cut-out') for (const id of others) network.cut(each.host, id);
    if (each.kind === 'restart') this.restart(each.host);
    if (each.kind === 'heal') this.heal();
    if (each.kind === 'zone-out') this.zoneOut(each.host, each.zone);
    if (each.kind === 'zone-back') this.zoneBack(each.host, each.zone);
    if (each.kind === 'zone-out-at-two') {
      this.zoneOut(each.host, each.zone);
      this.zoneBack(each.other, each.zone);
    }
    if (each.kind === 'load-sheet') this.loadSheet(each.host);
  }

  heal(): void {
    this.sim.network.cuts.clear();
    for (const id of this.sim.hosts.keys()) this.sim.process(id).resume();
  }

  /** One host at a time: if a majority loses its memory, the record may be lost by design. */
  private restart(id: string): void {
    const now = this.sim.now();
    const ready = [...this.sim.hosts.keys()].every((each) => this.sim.fleet(each).isEstablished());
    if (!ready || now < this.restartedAt + 1000) return;
    this.restartedAt = now;
    this.sim.start(id);
  }

  private submit(id: string, order: object): Promise<boolean> {
    this.orders += 1;
    const submitted = { id: `order-${this.orders}`, ...order } as never;
    return this.sim
      .fleet(id)
      .submit(submitted)
      .then((answer) => answer.ok);
  }

  private zoneOut(id: string, out: string): void {
    void this.submit(id, { kind: 'zone-out', zone: out, force: true });
  }

  private zoneBack(id: string, back: string): void {
    void this.submit(id, { kind: 'zone-back', zone: back });
  }

  private loadSheet(id: string): void {
    this.version += 1;
    void this.submit(id, { kind: 'load-sheet', sheet: simSheet(HOSTS, this.version) });
  }
}

// Guards against sequences of message losses, delays, pauses and restarts that violate agreement.
// SimFleet checks at each step that one record is chosen for each epoch, that epochs never fall,
// that no two current views use the same target, and that calls stay within the limits.
test(
  'agreement and ownership hold in random runs',
  async () => {
    console.log(`SEED=${SEED}`);
    await fc.assert(
      fc.asyncProperty(run, async ({ networkSeed, dropPercent, longestDelay, faultEvents }) => {
        const sim = new SimFleet(networkSeed, simSheet(HOSTS));
        sim.startAll();
        await sim.advance(8000);
        sim.network.dropRate = dropPercent / 100;
        sim.network.longestDelay = longestDelay;
        const scenario = new Scenario(sim);
        for (const each of faultEvents) {
          scenario.apply(each);
          await sim.advance(each.milliseconds, () => sim.sendCalls());
        }
        scenario.heal();
        sim.network.dropRate = 0;
        await sim.advance(12_000, () => sim.sendCalls());
        const ready = [...sim.hosts.keys()].filter((id) => sim.fleet(id).isReady());
        if (ready.length < HOSTS) throw new Error(`only ${ready.join(' ')} ready after healing`);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  },
  30_000 + RUNS * 4000,
);
