import { type TargetSettings } from '../../standins';

import { type FaultContext, type SoakFault } from './soakFault';

const STRAGGLER_FACTOR = 10;
const MISLEADING_FACTOR = 0.1;
const REPORT_LAG_MS = 2000;

function pickTarget({ random, targets }: FaultContext): string {
  return targets[random.integer(targets.length)]!;
}

/** A fault that is a change of settings; the end sets the normal values again. */
function settingsFault(during: Partial<TargetSettings>, after: Partial<TargetSettings>): SoakFault {
  return async (context) => {
    const { targets } = context.fleet;
    const subject = pickTarget(context);
    await targets.configure(subject, during);
    return { subject, end: () => targets.configure(subject, after) };
  };
}

/** A fault that happens at one moment and needs no end. */
function momentaryFault(action: 'cold' | 'crash'): SoakFault {
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
    { reportFactor: MISLEADING_FACTOR, reportLagMs: REPORT_LAG_MS },
    { reportFactor: 1, reportLagMs: 0 },
  ),
  'cold again': momentaryFault('cold'),
  crash: momentaryFault('crash'),
};
