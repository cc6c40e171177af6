import { type Measurement } from '../measurement';

import { addedLatency } from './addedLatency';
import { calmLoad, lateCauses } from './calmLoad';
import { coldStart } from './coldStart';
import { configSpread } from './configSpread';
import { controlCost } from './controlCost';
import { failFast } from './failFast';
import { loadShift } from './loadShift';
import { overloadPriority } from './overloadPriority';
import { retryChain } from './retryChain';
import { scaleChoice } from './scaleChoice';
import { scaleView } from './scaleView';
import { stragglers } from './stragglers';
import { targetWishes } from './targetWishes';
import { zoneOutAndBack } from './zoneOutAndBack';

/** All measurements by name. */
export const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  'added-latency': addedLatency,
  stragglers,
  'fail-fast': failFast,
  'calm-load': calmLoad,
  'late-causes': lateCauses,
  'cold-start': coldStart,
  'overload-priority': overloadPriority,
  'load-shift': loadShift,
  'retry-chain': retryChain,
  'control-cost': controlCost,
  'zone-out-and-back': zoneOutAndBack,
  'config-spread': configSpread,
  'scale-choice': scaleChoice,
  'scale-view': scaleView,
  'target-wishes': targetWishes,
};
