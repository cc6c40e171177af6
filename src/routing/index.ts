export { type CallTraits } from './callTraits';
export { type AttemptResult, type TargetSignals } from './attemptResult';
export { type Slot } from './slot';
export { type PoolState } from './poolState';
export { type Choice } from './choice';
export { ServicePool } from './servicePool';
export { Router } from './router';
