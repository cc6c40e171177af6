import { runGenerator } from '../harness/runGenerator';
import { type FleetService, TestFleet } from '../harness/testFleet';
import { type Measurement } from '../measurement';

const LEVELS = 7;
const TARGETS = 2;
const SLOTS = 50;
const CALLS_PER_SECOND = 50;

function makeLevels(): readonly FleetService[] {
  return Array.from({ length: LEVELS }, (_, index) => ({
    name: `level-${index + 1}`,
    targets: TARGETS,
    slots: SLOTS,
  }));
}

async function linkLevels(fleet: TestFleet, services: readonly FleetService[]): Promise<void> {
  for (const [index, { name }] of services.entries()) {
    const next = services[index + 1];
    for (let target = 1; target <= TARGETS; target += 1) {
      const base = fleet.baseUrls[(index + target) % fleet.baseUrls.length]!;
      await fleet.targets.configure(
        `${name}-${target}`,
        next === undefined ? { failing: true } : { nextUrl: `${base}/${next.name}` },
      );
    }
  }
}

/** Chain of services, called through the gateways, whose last level always answers 500. */
export const retryChain: Measurement = {
  description: 'calls at each level of a chain of 7 with a failing last level, per call at the first',
  run: async (options, onProgress) => {
    const services = makeLevels();
    const fleet = await TestFleet.start({
      hostZones: ['zone-1', 'zone-2', 'zone-3'],
      targetZones: ['zone-1', 'zone-2', 'zone-3'],
      services,
      targetSettings: { slots: SLOTS, serviceTimeMs: 2 },
      policy: 'owner',
      seed: options.seed,
    });
    try {
      await linkLevels(fleet, services);
      onProgress(`${LEVELS} levels, ${CALLS_PER_SECOND} calls/s for ${options.seconds} s`);
      const result = await runGenerator({
        seed: options.seed,
        runId: 'chain',
        baseUrls: fleet.baseUrls,
        phases: [{ name: 'run', seconds: options.seconds, callsPerSecond: CALLS_PER_SECOND }],
        kinds: [{ name: 'lookup', weight: 1, method: 'GET', path: '/level-1/items', isKeyed: false }],
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
