import { type FleetService } from './testFleet';

// Median and log-normal sigma of the service time in fault measurements: long enough that one
// machine sustains the call rate of a whole service, short enough for thousands of calls in a run.
const SERVICE_TIME_MS = 80;
const SERVICE_TIME_SIGMA = 0.3;

/** Target settings in fault measurements, for a service with the given slots per target. */
export function faultTargetSettings(slots: number) {
  return { slots, serviceTimeMs: SERVICE_TIME_MS, spread: SERVICE_TIME_SIGMA };
}

/** Calls a second that use the given share of the service's slots. */
export function callsPerSecondFor({ targets, slots }: FleetService, load: number): number {
  // The mean of a log-normal distribution is above its median.
  const meanSeconds = (SERVICE_TIME_MS * Math.exp(SERVICE_TIME_SIGMA ** 2 / 2)) / 1000;
  return (load * targets * slots) / meanSeconds;
}

/** Largest service of a deployment. */
export const LARGEST_SERVICE: Readonly<Record<string, FleetService>> = {
  'derwent-vale': { name: 'round-sheet', targets: 16, slots: 6 },
  saryarka: { name: 'calendar', targets: 14, slots: 3 },
};
