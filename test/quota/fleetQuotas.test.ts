import { type Tenant } from '../../src/catalog';

import { type DecidedCall, QuotaFleet } from './quotaFleet';
import { tenantOf } from './tenants';
import { grantedShare, mostCalls, mostInWindow } from './usage';

const SEED = Number(process.env.SEED ?? 1);
const STEP_MS = 10;
const SETTLING_MS = 15_000;
const EXCESS = 7;
const MIN_GRANTED_SHARE = 0.9;
// Share of its limit that a tenant uses.
const USUAL_SHARE = 0.6;
const LOSS_RATIO = 0.03;

// The largest sizes take minutes and are for measurements.
const SIZES: readonly (readonly [size: number, zones: number])[] =
  process.env.PRINT_QUOTAS === undefined
    ? [[17, 3]]
    : [
        [3, 3],
        [17, 3],
        [48, 3],
        [129, 3],
      ];

const TENANTS = [tenantOf('small', 2, 4), tenantOf('middle', 20, 10), tenantOf('large', 100, 50)];

/** Sends calls at `callsPerSecond` in the mean, at random times, to the hosts that `choose` names. */
async function load(
  fleet: QuotaFleet,
  milliseconds: number,
  callsPerSecond: (tenant: Tenant) => number,
  choose: () => readonly string[],
): Promise<void> {
  const end = fleet.clock.now() + milliseconds;
  while (fleet.clock.now() < end) {
    const hosts = choose();
    for (const tenant of TENANTS) {
      const expected = (callsPerSecond(tenant) * STEP_MS) / 1000;
      const count = Math.floor(expected) + (fleet.random.next() < expected % 1 ? 1 : 0);
      for (let sent = 0; sent < count && hosts.length > 0; sent += 1) {
        const host = hosts[fleet.random.integer(hosts.length)]!;
        const at = fleet.clock.now() + fleet.random.next() * STEP_MS;
        fleet.clock.setTimer(at, () => fleet.call(host, tenant));
      }
    }
    await fleet.network.advance(STEP_MS);
  }
}

/** The load of tenants that ask for seven times their limits, at all hosts. */
function flood(fleet: QuotaFleet, milliseconds: number): Promise<void> {
  return load(
    fleet,
    milliseconds,
    (tenant) => tenant.callsPerSecond * EXCESS,
    () => fleet.hosts(),
  );
}

const RUNS: Readonly<Record<string, (fleet: QuotaFleet) => Promise<void>>> = {
  calm: (fleet) => flood(fleet, 15_000),
  'owners are killed and come back': async (fleet) => {
    await flood(fleet, 5000);
    const owners = new Set(TENANTS.flatMap((tenant) => fleet.owners(tenant)));
    for (const owner of owners) fleet.kill(owner);
    await flood(fleet, 2000);
    for (const owner of owners) fleet.startHost(Number(owner.split('-')[1]));
    await flood(fleet, 12_000);
  },
  'owners are killed for long and come back': async (fleet) => {
    await flood(fleet, 5000);
    const owners = new Set(TENANTS.flatMap((tenant) => fleet.owners(tenant)));
    for (const owner of owners) fleet.kill(owner);
    await flood(fleet, 18_000);
    for (const owner of owners) fleet.startHost(Number(owner.split('-')[1]));
    await flood(fleet, 12_000);
  },
  'hosts join': async (fleet) => {
    await flood(fleet, 5000);
    const size = fleet.hosts().length;
    for (let index = size; index < size + Math.ceil(size / 3); index += 1) {
      fleet.startHost(index);
      await flood(fleet, 100);
    }
    await flood(fleet, 12_000);
  },
  'all hosts restart': async (fleet) => {
    await flood(fleet, 5000);
    const hosts = fleet.hosts();
    for (const host of hosts) {
      fleet.kill(host);
      const index = Number(host.split('-')[1]);
      const at = fleet.clock.now() + fleet.random.next() * 1000;
      fleet.clock.setTimer(at, () => fleet.startHost(index));
    }
    await flood(fleet, 15_000);
  },
  'a zone is cut off': async (fleet) => {
    for (const zone of fleet.zones) {
      await flood(fleet, 5000);
      fleet.network.isCut = (from, to) => (from.zone === zone) !== (to.zone === zone);
      await flood(fleet, 5000);
      fleet.network.isCut = () => false;
    }
    await flood(fleet, 15_000);
  },
};

function callsOf(fleet: QuotaFleet, tenant: Tenant): readonly DecidedCall[] {
  return fleet.calls.filter((call) => call.tenant === tenant.name);
}

function print(label: string, figures: unknown): void {
  if (process.env.PRINT_QUOTAS !== undefined)
    console.log(`seed ${SEED}, ${label}: ${JSON.stringify(figures)}`);
}

async function settled(size: number, zones: number): Promise<QuotaFleet> {
  const fleet = new QuotaFleet(size, zones, SEED, TENANTS);
  await fleet.network.advance(SETTLING_MS);
  fleet.network.lossRatio = LOSS_RATIO;
  return fleet;
}

describe.each(SIZES)('tenants at %d hosts in %d zones', (size, zones) => {
  // Guards against calls beyond the limit, of all hosts together, in any window.
  it.each(Object.keys(RUNS))(
    `stay within their limits: %s (seed ${SEED})`,
    async (name) => {
      const fleet = await settled(size, zones);
      await RUNS[name]!(fleet);
      const use = TENANTS.map((tenant) => mostInWindow(callsOf(fleet, tenant)) / mostCalls(tenant));
      const waits = fleet.calls.map(({ waitedMs }) => waitedMs).sort((left, right) => left - right);
      const wait = [0.5, 0.99, 0.999].map((share) => waits[Math.floor(waits.length * share)]);
      print(`${size} hosts, ${name}`, { use, wait });
      for (const share of use) expect(share).toBeLessThanOrEqual(1);
    },
    600_000,
  );

  // Guards against calls within the limit that are refused, for few and for many callers.
  it.each([1, 3, 17, 129].filter((callers) => callers <= size))(
    `get what is within their limits at %d hosts (seed ${SEED})`,
    async (callers) => {
      const fleet = await settled(size, zones);
      const hosts = fleet.hosts().slice(0, callers);
      await load(
        fleet,
        20_000,
        (tenant) => tenant.callsPerSecond * 0.95,
        () => hosts,
      );
      const shares = TENANTS.map((tenant) => grantedShare(callsOf(fleet, tenant), tenant));
      print(`${size} hosts, callers at ${callers}`, { shares });
      for (const share of shares) expect(share).toBeGreaterThanOrEqual(MIN_GRANTED_SHARE);
    },
    600_000,
  );

  // Guards against a zone that keeps what its former callers no longer use.
  it(`get what is within their limits while callers change the zone (seed ${SEED})`, async () => {
    const fleet = await settled(size, zones);
    for (const zone of fleet.zones)
      await load(
        fleet,
        6000,
        (tenant) => tenant.callsPerSecond * 0.95,
        () => fleet.hosts(zone),
      );
    const shares = TENANTS.map((tenant) => grantedShare(callsOf(fleet, tenant), tenant));
    print(`${size} hosts, callers change the zone`, { shares });
    for (const share of shares) expect(share).toBeGreaterThanOrEqual(MIN_GRANTED_SHARE);
  }, 600_000);

  // Guards against tenants within their limits that are turned away, since their owners are down or have
  // only just started again.
  it.each([Infinity, 1500])(
    `get what is within their limits while their owners are down, back after %d ms (seed ${SEED})`,
    async (downMs) => {
      const fleet = await settled(size, zones);
      const usual = (milliseconds: number) =>
        load(
          fleet,
          milliseconds,
          (tenant) => tenant.callsPerSecond * USUAL_SHARE,
          () => fleet.hosts(),
        );
      await usual(5000);
      const before = fleet.calls.length;
      const all = new Set(TENANTS.flatMap((tenant) => fleet.owners(tenant)));
      // One host stays where every host owns a quota.
      const owners = [...all].slice(0, size - 1);
      for (const owner of owners) fleet.kill(owner);
      await usual(Math.min(downMs, 10_000));
      if (downMs < Infinity)
        for (const owner of owners) fleet.startHost(Number(owner.split('-')[1]));
      await usual(5000);
      const after = fleet.calls.slice(before);
      const granted = after.filter(({ decision }) => decision === 'granted').length / after.length;
      print(`${size} hosts, owners down for ${downMs} ms`, granted);
      expect(granted).toBeGreaterThan(MIN_GRANTED_SHARE);
    },
    600_000,
  );
});
