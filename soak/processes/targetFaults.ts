import { type TargetSettings } from '../../standins';

import { type FaultContext, type SoakFault } from './soakFault';

const STRAGGLER_FACTOR = 10;
const UNDERREPORT_FACTOR = 0.1;
const REPORT_LAG_MS = 2000;

function pickTarget({ random, targets }: FaultContext): string {
  return targets[random.integer(targets.length)]!;
}

/** A fault that changes settings; its end restores the normal values. */
function settingsFault(during: Partial<TargetSettings>, after: Partial<TargetSettings>): SoakFault {
  return async (context) => {
    const { targets } = context.fleet;
    const subject = pickTarget(context);
    await targets.configure(subject, during);
    return { subject, end: () => targets.configure(subject, after) };
  };
}

/** An instantaneous fault, which needs no end. */
function instantFault(action: 'cold' | 'crash'): SoakFault {
  return async (context) => {
    const subject = pickTarget(context);
    await context.fleet.targets.trigger(subject, action);
    return { subject, end: () => Promise.resolve() };
  };
}

/** Faults of single targets by name. */
export const TARGET_FAULTS: Readonly<Record<string, SoakFault>> = {
  straggler: settingsFault({ stragglerFactor: STRAGGLER_FACTOR }, { stragglerFactor: 1 }),
  'fail fast': settingsFault({ failing: true }, { failing: false }),
  shedding: settingsFault({ shedding: true }, { shedding: false }),
  draining: settingsFault({ draining: true }, { draining: false }),
  'misleading reports': settingsFault(
    { reportFactor: UNDERREPORT_FACTOR, reportLagMs: REPORT_LAG_MS },
    { reportFactor: 1, reportLagMs: 0 },
  ),
  'cold again': instantFault('cold'),
  crash: instantFault('crash'),
};
