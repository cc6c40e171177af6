import { SimulatedFleet } from '../soak/simulatedFleet';
import { simulatedSheet } from '../soak/simulatedSheet';
import { type CallTraits, Router } from '../src/routing';
import { ManualClock, SeededRandom } from '../src/runtime';

/** Options of a run. */
export interface ScaleChoiceOptions {
  readonly seed: number;
  /** Number of routing decisions for each size. */
  readonly choices: number;
}

/** Cost of one routing decision, and of acquiring and finishing one slot. */
export interface ScaleChoiceRow {
  readonly targets: number;
  readonly services: number;
  readonly hosts: number;
  readonly choiceMicroseconds: number;
  readonly choiceAllocatedBytes: number;
  readonly slotMicroseconds: number;
}

const SIZES = [16, 1000, 7100];
const SERVICE_COUNTS = [4, 50, 250];
const HOSTS = 17;
const NO_HOSTS: ReadonlySet<string> = new Set();
const MICROSECONDS_PER_NANOSECOND = 1e-3;

function callTraitsFor(service: number): CallTraits {
  return {
    callId: '',
    service: `service-${service}`,
    class: 'standard',
    idempotent: true,
    deadline: Number.MAX_SAFE_INTEGER,
    suspect: null,
    avoid: new Set(),
  };
}

function makeRouter(targets: number, services: number, seed: number): Router {
  const sheet = simulatedSheet({
    targets,
    services,
    slots: 6,
    coldLimit: 6,
    coldMs: 0,
    rain: false,
    hosts: HOSTS,
  });
  const fleet = new SimulatedFleet('host-1', sheet);
  const hosts = [...sheet.hosts.keys()];
  [...sheet.targets.keys()].forEach((id, index) => fleet.ownerOf.set(id, hosts[index % HOSTS]!));
  return new Router(fleet, new ManualClock(), new SeededRandom(seed));
}

function timeEach(count: number, step: (index: number) => void): number {
  const start = process.hrtime.bigint();
  for (let index = 0; index < count; index += 1) step(index);
  return (Number(process.hrtime.bigint() - start) * MICROSECONDS_PER_NANOSECOND) / count;
}

async function timeEachSlot(router: Router, calls: readonly CallTraits[], count: number) {
  const start = process.hrtime.bigint();
  for (let index = 0; index < count; index += 1) {
    const call = calls[index % calls.length]!;
    const slot = await router.pool(call.service).acquire(call);
    if (slot.ok) {
      slot.val.maySend();
      slot.val.recordAnswerHead();
      const signals = { instance: null, draining: false, utilization: null };
      slot.val.finish({ kind: 'answered', status: 200, signals });
    }
  }
  return (Number(process.hrtime.bigint() - start) * MICROSECONDS_PER_NANOSECOND) / count;
}

async function measureSize(
  targets: number,
  services: number,
  options: ScaleChoiceOptions,
): Promise<ScaleChoiceRow> {
  const router = makeRouter(targets, services, options.seed);
  const calls = Array.from({ length: services }, (_value, index) => callTraitsFor(index + 1));
  const choose = (index: number) => {
    router.choose(calls[index % calls.length]!, NO_HOSTS);
  };
  timeEach(options.choices, choose);
  const heapBefore = process.memoryUsage().heapUsed;
  timeEach(1000, choose);
  const choiceAllocatedBytes = Math.max(0, process.memoryUsage().heapUsed - heapBefore) / 1000;
  const choiceMicroseconds = timeEach(options.choices, choose);
  const owned = calls.filter((call) => router.pool(call.service).state().limit > 0);
  await timeEachSlot(router, owned, options.choices);
  const slotMicroseconds = await timeEachSlot(router, owned, options.choices);
  return {
    targets,
    services,
    hosts: HOSTS,
    choiceMicroseconds,
    choiceAllocatedBytes,
    slotMicroseconds,
  };
}

/** Times a routing decision with 16 to 7,100 targets and 4 to 250 services, with a stopped clock. */
export async function runScaleChoice(
  options: Partial<ScaleChoiceOptions> = {},
): Promise<{ readonly rows: readonly ScaleChoiceRow[] }> {
  const { seed = 1, choices = 50_000 } = options;
  const rows: ScaleChoiceRow[] = [];
  for (const targets of SIZES) {
    for (const services of SERVICE_COUNTS) {
      if (services <= targets) rows.push(await measureSize(targets, services, { seed, choices }));
    }
  }
  return { rows };
}
