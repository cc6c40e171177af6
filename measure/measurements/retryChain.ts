import { runGenerator } from '../harness/runGenerator';
import { type FleetService, TestFleet } from '../harness/testFleet';
import { type Measurement } from '../measurement';

const LEVELS = 7;
const TARGETS = 2;
const SLOTS = 50;
const CALLS_PER_SECOND = 50;

function levels(): readonly FleetService[] {
  return Array.from({ length: LEVELS }, (_, index) => ({
    name: `level-${index + 1}`,
    targets: TARGETS,
    slots: SLOTS,
  }));
}

async function chainTargets(fleet: TestFleet, services: readonly FleetService[]): Promise<void> {
  for (const [index, { name }] of services.entries()) {
    const next = services[index + 1];
    for (let target = 1; target <= TARGETS; target += 1) {
      const base = fleet.bases[(index + target) % fleet.bases.length]!;
      await fleet.targets.configure(
        `${name}-${target}`,
        next === undefined ? { failing: true } : { nextUrl: `${base}/${next.name}` },
      );
    }
  }
}

/** A chain of services through the gateways whose last level answers 500. */
export const retryChain: Measurement = {
  description: 'calls at the failing last level of a chain of 7, for each call at the first',
  run: async (options, progress) => {
    const services = levels();
    const fleet = await TestFleet.start({
      hostZones: ['zone-1', 'zone-2', 'zone-3'],
      targetZones: ['zone-1', 'zone-2', 'zone-3'],
      services,
      targetSettings: { slots: SLOTS, serviceTimeMs: 2 },
      policy: 'owner',
      seed: options.seed,
    });
    try {
      await chainTargets(fleet, services);
      progress(`${LEVELS} levels, ${CALLS_PER_SECOND} calls/s for ${options.seconds} s`);
      const result = await runGenerator({
        seed: options.seed,
        runId: 'chain',
        bases: fleet.bases,
        phases: [{ name: 'run', seconds: options.seconds, callsPerSecond: CALLS_PER_SECOND }],
        kinds: [{ name: 'lookup', weight: 1, method: 'GET', path: '/level-1/items', keyed: false }],
        timeoutMs: 2000,
      });
      const truths = await fleet.truth();
      const sent = result.reports.length;
      return services.map(({ name }) => {
        const calls = truths
          .filter(({ target }) => target.startsWith(`${name}-`))
          .flatMap(({ runs }) => runs)
          .filter(([key]) => key.startsWith('/items/')).length;
        return { level: name, calls, sent, callsForEachSent: calls / sent };
      });
    } finally {
      await fleet.stop();
    }
  },
};
