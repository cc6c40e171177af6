import { type FleetService } from './testFleet';

// Median and spread of the service time in fault measurements: long enough that one machine
// carries the call rate of a whole service, short enough for thousands of calls in a run.
const SERVICE_TIME_MS = 80;
const SPREAD = 0.3;

/** Settings of the targets in fault measurements, for a service with the given slots. */
export function faultTargetSettings(slots: number) {
  return { slots, serviceTimeMs: SERVICE_TIME_MS, spread: SPREAD };
}

/** Calls a second that take up the given share of the service's slots. */
export function rateFor({ targets, slots }: FleetService, load: number): number {
  // The mean of a log-normal distribution lies above its median.
  const meanSeconds = (SERVICE_TIME_MS * Math.exp(SPREAD ** 2 / 2)) / 1000;
  return (load * targets * slots) / meanSeconds;
}

/** Largest service of a deployment. */
export const MAIN_SERVICE: Readonly<Record<string, FleetService>> = {
  'derwent-vale': { name: 'round-sheet', targets: 16, slots: 6 },
  saryarka: { name: 'calendar', targets: 14, slots: 3 },
};
