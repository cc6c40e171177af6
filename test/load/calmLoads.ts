import { type ModelKind } from '../../standins/fleet';

import { type NetworkedFleetOptions } from './networkedFleet';

type Deployment = Omit<NetworkedFleetOptions, 'seed' | 'hasNotices'>;

/** Size of a fleet under normal load. */
export interface CalmSize {
  readonly hostsPerZone: number;
  readonly slots: number;
}

const CALLS_PER_HOST_AND_SECOND = 6.5;
const UTILIZATION = 0.2;
const SECOND_MS = 1000;
const NOISE = { share: 0.25, factor: 7, everyMs: 500 };
const WITHOUT_DISTURBANCES = { disturbances: [], seconds: 0, policy: 'product' as const };

function evenDeployment({ hostsPerZone, slots }: CalmSize): Deployment {
  const zones = ['a', 'b', 'c'];
  const kinds = Object.entries({ lookup: 70, order: 80, sale: 90 });
  const perSecondInZone = (CALLS_PER_HOST_AND_SECOND * hostsPerZone) / kinds.length;
  const targetsFor = (workMs: number) =>
    Math.max(1, Math.round((perSecondInZone * workMs) / (SECOND_MS * UTILIZATION * slots)));
  return {
    ...WITHOUT_DISTURBANCES,
    ...{ zones, hosts: zones.map(() => hostsPerZone) },
    services: kinds.map(([name, workMs]) => ({
      ...{ name, slots, targets: zones.map(() => targetsFor(workMs)), queueLimit: 6 },
      // Slowdown of a target while all of its slots are in use.
      ...{ whenFull: 'refuse' as const, kneeFactor: 1.3, kneeShare: slots === 1 ? 1 : 0.8 },
      noise: NOISE,
    })),
    kinds: kinds.map(([name, workMs]) => ({
      ...{ name, service: name, workMs, objectiveMs: 230, timeLimitMs: 1200 },
      ...{ isIdempotent: true, priority: 1, retries: 1 },
      perSecond: perSecondInZone * zones.length,
    })),
  };
}

// Targets of 2 slots in each zone of 25 hosts; other sizes have as many for each call. The zones differ in
// calls and targets, so that those of one use 31% of the slots of lookups and those of another 10%.
const SALES_TARGETS = { lookups: [24, 13, 15, 13], sales: [9, 11, 9, 11], back: [4, 5, 5, 5] };
const SALES_ZONE_WEIGHTS = [113, 182, 177, 100];
const SALES_SIZE = { hostsPerZone: 25, slots: 2 };
const SALES_KINDS: readonly ModelKind[] = [
  {
    ...{ name: 'lookup', service: 'lookups', perSecond: 368, workMs: 69, objectiveMs: 231 },
    ...{ timeLimitMs: 1000, isIdempotent: true, priority: 0, retries: 1 },
  },
  {
    ...{ name: 'sale', service: 'sales', perSecond: 173, workMs: 90, objectiveMs: 283 },
    ...{ timeLimitMs: 1000, isIdempotent: false, priority: 1, retries: 1 },
  },
  {
    ...{ name: 'upload', service: 'back', perSecond: 52, workMs: 83, objectiveMs: 1595 },
    ...{ timeLimitMs: 3000, isIdempotent: false, priority: 2, retries: 1 },
  },
  {
    ...{ name: 'refund', service: 'back', perSecond: 53, workMs: 56, objectiveMs: 237 },
    ...{ timeLimitMs: 1000, isIdempotent: false, priority: 1, retries: 1 },
  },
];

function salesDeployment({ hostsPerZone, slots }: CalmSize): Deployment {
  const zones = ['a', 'b', 'c', 'd'];
  const hostRatio = hostsPerZone / SALES_SIZE.hostsPerZone;
  const targetRatio = (hostRatio * SALES_SIZE.slots) / slots;
  return {
    ...WITHOUT_DISTURBANCES,
    ...{ zones, hosts: zones.map(() => hostsPerZone) },
    services: Object.entries(SALES_TARGETS).map(([name, targets]) => ({
      targets: targets.map((count) => Math.max(1, Math.round(count * targetRatio))),
      ...{ name, slots, queueLimit: 8, whenFull: 'refuse' as const, kneeFactor: 1, kneeShare: 1 },
      noise: { ...NOISE, share: 0.3 },
    })),
    ...{ zoneWeights: SALES_ZONE_WEIGHTS, probeMs: 6, idleMs: 8500 },
    kinds: SALES_KINDS.map((kind) => ({ ...kind, perSecond: kind.perSecond * hostRatio })),
  };
}

/**
 * Deployments under normal load: `even` has three services with the same number of calls, `sales` few
 * targets of a service with two kinds of calls, and calls that may not be sent twice.
 */
export const CALM_LOADS = { even: evenDeployment, sales: salesDeployment } as const;
